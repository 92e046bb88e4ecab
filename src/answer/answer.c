/*
 * Stub.
 */
#include "mc/answer.h"
