/*
 * Stub.
 */
#include "mc/wire.h"
