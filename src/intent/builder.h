/*
 * The builder's state, shared by the files of the intent library.
 */
#ifndef MC_INTENT_BUILDER_H
#define MC_INTENT_BUILDER_H

#include "mc/intent.h"

/**
 * struct mc_intent_t - rows written so far
 * @out: stream that writes @text
 * @text: TOML, complete once @out is flushed
 * @size: bytes of @text
 */
struct mc_intent_t {
	FILE *out;
	char *text;
	size_t size;
};

#endif
