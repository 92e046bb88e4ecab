# Functions that declare the libraries, unit tests and fuzz programs of the
# workspace. A library can include its own headers and the public headers of its
# DEPS only.

# mc_library(NAME SOURCES ... DEPS ... PACKAGES ...) adds the library mc_NAME.
# DEPS are libraries of the workspace, without mc_; PACKAGES are external.
function(mc_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;PACKAGES" ${ARGN})
  add_library(mc_${name} STATIC ${ARG_SOURCES})
  target_include_directories(mc_${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
  list(TRANSFORM ARG_DEPS PREPEND mc_)
  target_link_libraries(mc_${name} PUBLIC ${ARG_DEPS} PRIVATE ${ARG_PACKAGES})
endfunction()

# mc_unit_test(NAME DEPS ... PACKAGES ...) builds tests/unit/NAME_test.c and
# adds it as the test unit_NAME.
function(mc_unit_test name)
  cmake_parse_arguments(ARG "" "" "DEPS;PACKAGES" ${ARGN})
  add_executable(${name}_test ${name}_test.c)
  list(TRANSFORM ARG_DEPS PREPEND mc_)
  target_link_libraries(${name}_test ${ARG_DEPS} ${ARG_PACKAGES}
    PkgConfig::CMOCKA)
  add_test(NAME unit_${name} COMMAND ${name}_test)
  set_tests_properties(unit_${name} PROPERTIES TIMEOUT 120)
endfunction()

# mc_fuzz(NAME RUNS n [MAX_LEN n] DEPS ... PACKAGES ...) builds
# tests/fuzz/NAME_fuzz.c and adds the test fuzz_NAME, which runs RUNS inputs of
# at most MAX_LEN bytes (default: 2048) from a fixed seed.
function(mc_fuzz name)
  cmake_parse_arguments(ARG "" "RUNS;MAX_LEN" "DEPS;PACKAGES" ${ARGN})
  if(NOT ARG_MAX_LEN)
    set(ARG_MAX_LEN 2048)
  endif()
  add_executable(${name}_fuzz ${name}_fuzz.c)
  list(TRANSFORM ARG_DEPS PREPEND mc_)
  target_link_libraries(${name}_fuzz ${ARG_DEPS} ${ARG_PACKAGES}
    -fsanitize=fuzzer)
  add_test(NAME fuzz_${name} COMMAND ${name}_fuzz -seed=1 -runs=${ARG_RUNS}
    -max_len=${ARG_MAX_LEN} -timeout=20)
  set_tests_properties(fuzz_${name} PROPERTIES TIMEOUT 600)
endfunction()
