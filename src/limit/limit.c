/*
 * Stub.
 */
#include "mc/limit.h"
