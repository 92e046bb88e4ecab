/*
 * Scans a TOML text for keys with too many dots and for non-ASCII bytes.
 * Strings and comments are recognized by the rules of TOML. The rest needs no
 * grammar, because the dots of a key end at the end of the line or at one of
 * the characters that separate keys. If this scan and the parser interpret a
 * text differently, the text has a syntax error before that position.
 */
#include "text.h"

#include <string.h>

enum {
	TRIPLE_QUOTE_SIZE = 3,
	ASCII_MAX = 127,
};

typedef struct scanner_t {
	const char *pos;
	const char *end;
	uint32_t line;
	uint32_t dots;
	bool has_non_ascii;
} scanner_t;

static bool is_triple_quote(const scanner_t *scanner, char quote)
{
	return scanner->end - scanner->pos >= TRIPLE_QUOTE_SIZE &&
	       scanner->pos[0] == quote && scanner->pos[1] == quote &&
	       scanner->pos[2] == quote;
}

/* Also stops at other control characters, which are invalid in comments. */
static void skip_comment(scanner_t *scanner)
{
	while (scanner->pos < scanner->end &&
	       ((unsigned char)*scanner->pos >= ' ' || *scanner->pos == '\t'))
		scanner->pos++;
}

static void track_character(scanner_t *scanner, char c)
{
	if (c == '\n')
		scanner->line++;
	if ((unsigned char)c > ASCII_MAX)
		scanner->has_non_ascii = true;
}

/* Skips the next character of a string, or a backslash and what it escapes. */
static void skip_character(scanner_t *scanner, char quote)
{
	if (*scanner->pos == '\\' && quote == '"' &&
	    scanner->pos + 1 < scanner->end)
		scanner->pos++;
	track_character(scanner, *scanner->pos++);
}

static void skip_multiline_string(scanner_t *scanner, char quote)
{
	scanner->pos += TRIPLE_QUOTE_SIZE;
	while (scanner->pos < scanner->end && !is_triple_quote(scanner, quote))
		skip_character(scanner, quote);
	/* The three closing quotes may follow up to two quotes of the text. */
	while (scanner->pos < scanner->end && *scanner->pos == quote)
		scanner->pos++;
}

static void skip_string(scanner_t *scanner, char quote)
{
	if (is_triple_quote(scanner, quote)) {
		skip_multiline_string(scanner, quote);
		return;
	}
	scanner->pos++;
	while (scanner->pos < scanner->end && *scanner->pos != quote &&
	       *scanner->pos != '\n')
		skip_character(scanner, quote);
	if (scanner->pos < scanner->end && *scanner->pos == quote)
		scanner->pos++;
}

static void scan_other(scanner_t *scanner)
{
	char c = *scanner->pos++;

	track_character(scanner, c);
	if (c == '.')
		scanner->dots++;
	else if (strchr("\n=,{}[]", c))
		scanner->dots = 0;
}

static void scan_step(scanner_t *scanner)
{
	char c = *scanner->pos;

	if (c == '#')
		skip_comment(scanner);
	else if (c == '"' || c == '\'')
		skip_string(scanner, c);
	else
		scan_other(scanner);
}

static mc_err_t check_limits(const scanner_t *scanner)
{
	if (scanner->dots > MC_TOML_DOTS_MAX)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "expected a key with at most %d dots",
			       MC_TOML_DOTS_MAX);
	if (scanner->has_non_ascii)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "expected ASCII characters outside comments");
	return MC_OK;
}

mc_err_t mc_toml_check_text(const char *text, size_t size, uint32_t *line)
{
	scanner_t scanner = { .pos = text, .end = text + size, .line = 1 };
	mc_err_t err = MC_OK;

	while (!err && scanner.pos < scanner.end) {
		scan_step(&scanner);
		err = check_limits(&scanner);
	}
	if (err)
		*line = scanner.line;
	return err;
}
