/*
 * Public header of the base library, which all other libraries use. Its only
 * global state is the last error message of each thread, and the log of the
 * handler of fatal signals.
 */
#ifndef MC_BASE_H
#define MC_BASE_H

#include "mc/base/clock.h"
#include "mc/base/counter.h"
#include "mc/base/crash.h"
#include "mc/base/error.h"
#include "mc/base/hash.h"
#include "mc/base/log.h"
#include "mc/base/random.h"
#include "mc/base/table.h"

/** MC_ARRAY_LEN - number of elements in an array */
#define MC_ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

#endif
