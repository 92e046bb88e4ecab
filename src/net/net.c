/*
 * Stub.
 */
#include "mc/net.h"
