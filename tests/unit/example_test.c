/*
 * Checks the output of an example program: standard input must be a valid
 * configuration in canonical form with at least one target.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/config.h"

static char text[MC_CONFIG_TEXT_MAX + 1];

int main(void)
{
	size_t size = fread(text, 1, MC_CONFIG_TEXT_MAX, stdin);
	mc_config_errors_t errors;
	const mc_config_t *config;
	char *canonical;
	int status;

	if (mc_config_parse(text, size, 0, 0, &config, &errors) ||
	    mc_config_print(config, &canonical)) {
		fprintf(stderr, "%s\n", mc_last_error_message());
		return 1;
	}
	status = !config->target_count || strcmp(text, canonical);
	free(canonical);
	mc_config_unref(config);
	return status;
}
