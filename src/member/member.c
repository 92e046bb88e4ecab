/*
 * Stub.
 */
#include "mc/member.h"
