/*
 * Stub.
 */
#include "mc/config.h"
