/*
 * Stub.
 */
#include "mc/store.h"
