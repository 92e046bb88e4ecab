/*
 * Stub.
 */
#include "mc/retry.h"
