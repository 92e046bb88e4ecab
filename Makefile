# Wrapper around CMake for the usual tasks.
BUILD ?= build
JOBS ?= $(shell nproc)
# Inputs per program in "make fuzz"; the tests run a smaller, fixed number.
FUZZ_RUNS ?= 2000000

CMAKE = cmake -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ \
	-DCMAKE_MESSAGE_LOG_LEVEL=WARNING
COMPILE = cmake --build $(1) -j $(JOBS) -- --no-print-directory
SANITIZERS = address,undefined


# Parameters of "make bench": a scenario or "all", the length of each load in
# seconds, and the searches per second of scenarios that use a single rate.
SCENARIO ?= all
SECONDS ?= 8
RATE ?= 100

# Parameters of "make soak" and "make soak-sanitize": the number of seeds, the
# first seed, the seconds for which faults are injected with each seed, and the
# only kind of caller; without one, all kinds that are enabled.
SEEDS ?= 10
FIRST ?= 1
SOAK_SECONDS ?= 10
CALLERS ?=

.PHONY: all packages build build-fuzz test test-fuzz check lint format fuzz \
	check-sanitize demo bench soak soak-sanitize clean

all: build

packages:
	@sh tools/install-packages

build:
	@$(CMAKE) -S . -B $(BUILD) -DMC_FUZZ=OFF
	@$(call COMPILE,$(BUILD))

build-fuzz:
	@$(CMAKE) -S . -B $(BUILD)-fuzz -DMC_FUZZ=ON \
		-DMC_SANITIZE=$(SANITIZERS)
	@$(call COMPILE,$(BUILD)-fuzz)

test: build
	@sh tools/run-tests $(BUILD)

test-fuzz: build-fuzz
	@sh tools/run-tests $(BUILD)-fuzz

check: packages lint test test-fuzz

# Builds and runs the unit and system tests with sanitizers: address and
# undefined behaviour, then thread.
check-sanitize:
	@$(CMAKE) -S . -B $(BUILD)-asan -DMC_SANITIZE=$(SANITIZERS)
	@$(call COMPILE,$(BUILD)-asan)
	@sh tools/run-tests $(BUILD)-asan
	@$(CMAKE) -S . -B $(BUILD)-tsan -DMC_SANITIZE=thread
	@$(call COMPILE,$(BUILD)-tsan)
	@sh tools/run-tests $(BUILD)-tsan

# Runs a demonstration installation of two data centres on loopback.
demo: packages build
	@bash tools/demo $(BUILD)

# Measures an installation under load. Prints tables, which are also written to
# bench/out/SCENARIO.md; the figures go to bench/out/SCENARIO.csv.
bench: build
	@mkdir -p bench/out
	@cd $(BUILD) && ./bench/bench $(SCENARIO) $(SECONDS) $(RATE) \
		"$(CURDIR)/bench/out"

# Runs the fault soak of a build directory with several seeds; stops at the first
# failure.
RUN_SOAK = cd $(1) && for seed in $$(seq $(FIRST) \
		$$(($(FIRST) + $(SEEDS) - 1))); do \
		./tests/soak/soak $$seed $(SOAK_SECONDS) $(CALLERS) \
			>soak.out 2>&1 || { cat soak.out; exit 1; }; \
		grep ^seed soak.out; \
	done

soak: build
	@$(call RUN_SOAK,$(BUILD))

# Instances and soak run under the sanitizers of the fuzz build.
soak-sanitize: build-fuzz
	@$(call RUN_SOAK,$(BUILD)-fuzz)

fuzz: build-fuzz
	@for f in $(BUILD)-fuzz/tests/fuzz/*_fuzz; do \
		$$f -seed=$$(date +%s) -runs=$(FUZZ_RUNS) -max_len=2048 \
			-timeout=20 || exit 1; \
	done

lint: build build-fuzz
	@sh tools/lint $(BUILD)

format:
	@git ls-files '*.c' '*.h' | xargs clang-format -i

clean:
	@rm -rf $(BUILD) $(BUILD)-fuzz $(BUILD)-asan $(BUILD)-tsan
