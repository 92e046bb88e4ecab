/*
 * Fuzzes admission with requests of all classes that enter and leave. The
 * oracle counts what is in: no class above its bound, none refused below the
 * floor, and urgent requests never refused for the sake of others.
 */
#include "fuzz_input.h"
#include "mc/limit.h"

enum {
	STEPS = 200,
	STEP_MAX_MS = 16,
	LATENCY_MAX_MS = 1024,
};

typedef struct {
	fuzz_input_t input;
	mc_admission_params_t params;
	mc_admission_t *admission;
	mc_ms_t now;
	uint32_t in[MC_CLASS_COUNT];
	mc_ms_t slowest[MC_CLASS_COUNT];
} world_t;

/* Room of a class in eighths of the concurrency; at least one request. */
static uint32_t room(uint32_t concurrency, mc_request_class_t klass)
{
	static const uint32_t eighths[MC_CLASS_COUNT] = { 8, 7, 4 };
	uint32_t slots = concurrency * eighths[klass] / 8;

	return slots ? slots : 1;
}

static uint32_t in_up_to(const world_t *world, mc_request_class_t klass)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i <= (int)klass; i++)
		sum += world->in[i];
	return sum;
}

static void check_refusal(const world_t *world, mc_request_class_t klass,
			  mc_ms_t deadline, mc_err_t err)
{
	uint32_t floor = room(world->params.min_concurrency, klass);
	uint32_t concurrency = mc_admission_concurrency(world->admission);

	FUZZ_CHECK(klass != MC_CLASS_URGENT || world->in[klass],
		   "one urgent request may always enter");
	if (err == MC_ERR_DEADLINE_PAST) {
		FUZZ_CHECK(world->in[klass] && deadline < world->slowest[klass],
			   "an early refusal has a slower request as reason");
		return;
	}
	FUZZ_CHECK(err == MC_ERR_OVERLOADED, "a refusal has a reason");
	FUZZ_CHECK(in_up_to(world, klass) >= floor,
		   "nothing is refused below the floor");
	FUZZ_CHECK(klass != MC_CLASS_URGENT || world->in[klass] >= concurrency,
		   "urgent requests have the whole concurrency");
}

static void enter(world_t *world)
{
	mc_request_class_t klass =
		(mc_request_class_t)fuzz_below(&world->input, MC_CLASS_COUNT);
	mc_ms_t deadline = 4 * fuzz_u8(&world->input);
	uint32_t concurrency = mc_admission_concurrency(world->admission);
	mc_ms_t retry;
	mc_err_t err = mc_admission_enter(world->admission, klass, deadline,
					  world->now, &retry);

	FUZZ_CHECK(deadline || err == MC_ERR_DEADLINE_PAST,
		   "no request enters without time");
	FUZZ_CHECK(!err == !retry, "a refusal has a retry time");
	if (err) {
		if (deadline)
			check_refusal(world, klass, deadline, err);
		return;
	}
	world->in[klass]++;
	FUZZ_CHECK(world->in[klass] == 1 ||
			   in_up_to(world, klass) <= room(concurrency, klass),
		   "a class stays within its bound");
	FUZZ_CHECK(klass == MC_CLASS_URGENT ||
			   in_up_to(world, klass) <= room(concurrency, klass),
		   "less urgent requests stay within their bound");
}

static void leave(world_t *world)
{
	mc_request_class_t klass =
		(mc_request_class_t)fuzz_below(&world->input, MC_CLASS_COUNT);
	mc_ms_t latency = 4 * fuzz_u8(&world->input);

	if (!world->in[klass])
		return;
	world->in[klass]--;
	if (latency > world->slowest[klass])
		world->slowest[klass] = latency;
	mc_admission_leave(world->admission, klass, latency,
			   !fuzz_below(&world->input, 3), world->now);
}

static void check_state(const world_t *world)
{
	uint32_t concurrency = mc_admission_concurrency(world->admission);
	int i;

	FUZZ_CHECK(concurrency >= world->params.min_concurrency &&
			   concurrency <= world->params.concurrency,
		   "the concurrency stays between its bounds");
	for (i = 0; i < MC_CLASS_COUNT; i++)
		FUZZ_CHECK(world->in[i] == mc_admission_in_flight(
						   world->admission,
						   (mc_request_class_t)i),
			   "what is in is counted");
}

/* Without overload, the concurrency comes back. */
static void check_recovery(world_t *world)
{
	const mc_request_class_t klass = MC_CLASS_URGENT;
	uint32_t rounds, in, i;
	mc_ms_t retry;

	for (i = 0; i < MC_CLASS_COUNT; i++)
		while (world->in[i]--)
			mc_admission_leave(world->admission,
					   (mc_request_class_t)i, 1, false,
					   world->now);

	for (rounds = 4 * world->params.concurrency; rounds; rounds--) {
		in = 0;
		while (!mc_admission_enter(world->admission, klass,
					   LATENCY_MAX_MS, world->now, &retry))
			in++;
		while (in--)
			mc_admission_leave(world->admission, klass, 1, false,
					   world->now);
	}
	FUZZ_CHECK(mc_admission_concurrency(world->admission) ==
			   world->params.concurrency,
		   "the concurrency recovers");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t world = { .input = fuzz_input_init(data, size) };
	uint32_t concurrency = 1 + fuzz_below(&world.input, 16);
	uint32_t i;

	world.params = (mc_admission_params_t){
		.policy = "class",
		.concurrency = concurrency,
		.min_concurrency = 1 + fuzz_below(&world.input, concurrency),
	};
	world.admission = mc_admission_create(&world.params);
	for (i = 0; i < STEPS; i++) {
		world.now += fuzz_below(&world.input, STEP_MAX_MS);
		if (fuzz_below(&world.input, 5) < 3)
			enter(&world);
		else
			leave(&world);
		check_state(&world);
	}
	check_recovery(&world);
	mc_admission_destroy(world.admission);
	return 0;
}
