/*
 * Stub.
 */
#include "mc/route.h"
