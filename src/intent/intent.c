/*
 * Stub.
 */
#include "mc/intent.h"
