/*
 * Stub.
 */
#include "mc/move.h"
