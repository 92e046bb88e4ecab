/*
 * Stub.
 */
#include "mc/snapshot.h"
