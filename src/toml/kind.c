/*
 * Names of node kinds for messages.
 */
#include "mc/toml.h"

const char *mc_toml_kind_name(mc_toml_kind_t kind)
{
	static const char *const names[] = {
		[MC_TOML_TABLE] = "a table",   [MC_TOML_ARRAY] = "an array",
		[MC_TOML_STRING] = "a string", [MC_TOML_INTEGER] = "an integer",
		[MC_TOML_FLOAT] = "a float",   [MC_TOML_BOOLEAN] = "a boolean",
		[MC_TOML_TIME] = "a time",
	};

	return (size_t)kind < MC_ARRAY_LEN(names) ? names[kind] : "nothing";
}
