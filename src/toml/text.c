/*
 * Scans a TOML text for keys with too many dots and for bytes above ASCII.
 * Strings and comments are told apart by the rules of TOML; all else needs no
 * grammar, as a run of dots ends with the line or with one of the characters
 * that separate keys. A text that is read in another way here than by the
 * parser has a syntax error before that place.
 */
#include "text.h"

#include <string.h>

enum {
	TRIPLE = 3,
	ASCII_MAX = 127,
};

typedef struct scan_t {
	const char *at;
	const char *end;
	uint32_t line;
	uint32_t dots;
	bool has_non_ascii;
} scan_t;

static bool at_triple(const scan_t *scan, char quote)
{
	return scan->end - scan->at >= TRIPLE && scan->at[0] == quote &&
	       scan->at[1] == quote && scan->at[2] == quote;
}

/* Also ends at other control characters, which no comment may hold. */
static void skip_comment(scan_t *scan)
{
	while (scan->at < scan->end &&
	       ((unsigned char)*scan->at >= ' ' || *scan->at == '\t'))
		scan->at++;
}

static void note_character(scan_t *scan, char c)
{
	if (c == '\n')
		scan->line++;
	if ((unsigned char)c > ASCII_MAX)
		scan->has_non_ascii = true;
}

/* Skips the next character of a string, and what it escapes. */
static void skip_character(scan_t *scan, char quote)
{
	if (*scan->at == '\\' && quote == '"' && scan->at + 1 < scan->end)
		scan->at++;
	note_character(scan, *scan->at++);
}

static void skip_long_string(scan_t *scan, char quote)
{
	scan->at += TRIPLE;
	while (scan->at < scan->end && !at_triple(scan, quote))
		skip_character(scan, quote);
	/* Up to two quotes may stand before the three that end it. */
	while (scan->at < scan->end && *scan->at == quote)
		scan->at++;
}

static void skip_string(scan_t *scan, char quote)
{
	if (at_triple(scan, quote)) {
		skip_long_string(scan, quote);
		return;
	}
	scan->at++;
	while (scan->at < scan->end && *scan->at != quote && *scan->at != '\n')
		skip_character(scan, quote);
	if (scan->at < scan->end && *scan->at == quote)
		scan->at++;
}

static void scan_plain(scan_t *scan)
{
	char c = *scan->at++;

	note_character(scan, c);
	if (c == '.')
		scan->dots++;
	else if (strchr("\n=,{}[]", c))
		scan->dots = 0;
}

static void scan_step(scan_t *scan)
{
	char c = *scan->at;

	if (c == '#')
		skip_comment(scan);
	else if (c == '"' || c == '\'')
		skip_string(scan, c);
	else
		scan_plain(scan);
}

static mc_err_t check_step(const scan_t *scan)
{
	if (scan->dots > MC_TOML_DOTS_MAX)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "expected a key with at most %d dots",
			       MC_TOML_DOTS_MAX);
	if (scan->has_non_ascii)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "expected ASCII characters outside comments");
	return MC_OK;
}

mc_err_t mc_toml_check_text(const char *text, size_t size, uint32_t *line)
{
	scan_t scan = { .at = text, .end = text + size, .line = 1 };
	mc_err_t err = MC_OK;

	while (!err && scan.at < scan.end) {
		scan_step(&scan);
		err = check_step(&scan);
	}
	if (err)
		*line = scan.line;
	return err;
}
