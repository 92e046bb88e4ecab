/*
 * State of an intent, shared by the files of the intent library.
 */
#ifndef MC_INTENT_BUILDER_H
#define MC_INTENT_BUILDER_H

#include "mc/intent.h"

/**
 * struct mc_intent_t - an intent: the rows added so far, as TOML
 * @out: memory stream that writes @text
 * @text: TOML text, up to date after @out is flushed
 * @size: length of @text in bytes
 */
struct mc_intent_t {
	FILE *out;
	char *text;
	size_t size;
};

#endif
