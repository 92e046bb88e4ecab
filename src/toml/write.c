/*
 * Writes lines of TOML with one value each.
 */
#include "mc/toml.h"

#include <inttypes.h>
#include <time.h>

enum {
	MS_PER_SECOND = 1000,
	TIME_SIZE = 32,
	ASCII_DELETE = 127,
};

static void write_character(FILE *out, unsigned char c)
{
	if (c == '"' || c == '\\')
		fprintf(out, "\\%c", c);
	else if (c < ' ' || c >= ASCII_DELETE)
		fprintf(out, "\\u%04x", c);
	else
		putc(c, out);
}

void mc_toml_write_string(FILE *out, const char *key, const char *value)
{
	fprintf(out, "%s = \"", key);
	for (; *value; value++)
		write_character(out, (unsigned char)*value);
	fputs("\"\n", out);
}

void mc_toml_write_time(FILE *out, const char *key, mc_ms_t value)
{
	time_t seconds = (time_t)(value / MS_PER_SECOND);
	char text[TIME_SIZE];
	struct tm parts;

	if (value < 0 || value > MC_TOML_TIME_MAX) {
		fprintf(out, "%s = %" PRId64 "\n", key, value);
		return;
	}
	gmtime_r(&seconds, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
	fprintf(out, "%s = %s", key, text);
	if (value % MS_PER_SECOND)
		fprintf(out, ".%03d", (int)(value % MS_PER_SECOND));
	fputs("Z\n", out);
}
