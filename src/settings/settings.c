/*
 * Stub.
 */
#include "mc/settings.h"
