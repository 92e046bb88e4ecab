/*
 * Fuzzes the settings library. The first byte selects the test: the remaining
 * bytes as text, whose errors must be whole lines, or a generated text with a
 * known number of errors and known values.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mc/settings.h"

#define REQUIRE(condition) ((condition) ? (void)0 : abort())

/* A key with two valid values followed by two invalid ones. */
typedef struct model_key_t {
	const char *table;
	const char *name;
	const char *values[4];
	bool required;
} model_key_t;

static const model_key_t keys[] = {
	{ "", "data_center", { "\"a\"", "\"b.c\"", "\"\"", "1" }, true },
	{ "",
	  "platform",
	  { "\"1.2.3.4:5\"", "\"[::1]:5\"", "\"1.2.3.4:0\"", "\"x:5\"" },
	  true },
	{ "", "peers", { "[]", "[\"1.2.3.4:5\"]", "[1]", "\"1.2.3.4:5\"" } },
	{ "", "shards", { "1", "64", "0", "65" } },
	{ "", "seed", { "0", "9223372036854775807", "-1", "1.0" } },
	{ "", "grace_ms", { "0", "600000", "-1", "600001" } },
	{ "", "log_level", { "\"error\"", "\"debug\"", "\"\"", "6" } },
	{ "", "other", { NULL, NULL, "1", "{}" } },
	{ "front",
	  "callers",
	  { "\"1.2.3.4:0\"", "\"[::]:80\"", "\":80\"", "true" } },
	{ "gather",
	  "peer",
	  { "\"1.2.3.4:0\"", "\"[::]:80\"", "\"::1:80\"", "1970-01-01" },
	  true },
	{ "policy", "owners", { "1", "64", "0", "4294967297" } },
	{ "policy", "limit", { "\"fixed\"", "\"none\"", "\"\"", "0" } },
	{ "policy",
	  "replica",
	  { "\"hash\"", "\"round_robin\"", "\"x\"", "0" } },
	{ "policy", "ramp", { "\"on\"", "\"off\"", "\"x\"", "0" } },
	{ "policy", "hedge", { "\"p95\"", "\"none\"", "\"x\"", "0" } },
	{ "policy", "retry", { "\"none\"", "\"unbounded\"", "\"x\"", "0" } },
	{ "policy", "admission", { "\"class\"", "\"none\"", "\"x\"", "0" } },
	{ "policy", "extra_percent", { "0", "100", "-1", "101" } },
	{ "policy", "concurrency", { "1", "1000000", "0", "1000001" } },
};

static mc_settings_t settings;
static char errors[1 << 16];

/* Counts the errors, each of which must be one line with a line number. */
static uint32_t count_errors(void)
{
	const char *line = errors, *end;
	uint32_t count = 0, number;

	for (; *line; line = end + 1, count++) {
		end = strchr(line, '\n');
		REQUIRE(end);
		REQUIRE(sscanf(line, "line %u: ", &number) == 1);
		REQUIRE(strstr(line, ": expected ") < end);
	}
	return count;
}

static void parse(const char *text, size_t size, uint32_t *count)
{
	mc_err_t err = mc_settings_parse(text, size, MC_ROLE_GATHER, &settings,
					 errors, sizeof(errors));

	*count = count_errors();
	REQUIRE(err == (*count ? MC_ERR_BAD_SETTINGS : MC_OK));
}

/*
 * Writes each key as its byte says: absent, or one of its four values. Returns
 * the number of errors that the text contains.
 */
static uint32_t write_text(FILE *out, const uint8_t *choices)
{
	const char *table = "";
	uint32_t invalid = 0;
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(keys); i++) {
		uint8_t choice = choices[i] % 5;

		if (strcmp(table, keys[i].table))
			fprintf(out, "[%s]\n", table = keys[i].table);
		if (choice == 4 || !keys[i].values[choice]) {
			invalid += keys[i].required;
			continue;
		}
		fprintf(out, "%s = %s\n", keys[i].name, keys[i].values[choice]);
		invalid += choice >= 2;
	}
	return invalid;
}

static void check_values(const uint8_t *choices)
{
	static const uint32_t shards[] = { 1, 64, 0, 0, 2 };
	static const uint32_t owners[] = { 1, 64, 0, 0, 8 };
	static const char *const limits[] = { "fixed", "none", "", "",
					      "adaptive" };

	REQUIRE(settings.peer_count == (choices[2] % 5 == 1));
	REQUIRE(settings.shards == shards[choices[3] % 5]);
	REQUIRE(settings.policy.owners == owners[choices[10] % 5]);
	REQUIRE(!strcmp(settings.policy.limit, limits[choices[11] % 5]));
}

static void fuzz_model(const uint8_t *data, size_t size)
{
	uint8_t choices[MC_ARRAY_LEN(keys)] = { 0 };
	uint32_t expected, count;
	char *text;
	size_t used;
	FILE *out = open_memstream(&text, &used);

	memcpy(choices, data, size < sizeof(choices) ? size : sizeof(choices));
	expected = write_text(out, choices);
	fclose(out);
	parse(text, used, &count);
	REQUIRE(count == expected);
	if (!count)
		check_values(choices);
	free(text);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	uint32_t count;

	if (size && data[0] % 2)
		fuzz_model(data + 1, size - 1);
	else if (size)
		parse((const char *)data + 1, size - 1, &count);
	return 0;
}
