/*
 * The command "status": asks fronts for their view of the fleet and prints one
 * line for each, then data centres and moves.
 */
#include "command.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_call.h"

enum {
	URL_SIZE = 128,
};

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "?";
}

static long long number_of(const json_t *object, const char *key)
{
	return (long long)json_integer_value(json_object_get(object, key));
}

static void print_data_centers(const json_t *status)
{
	const json_t *list = json_object_get(status, "data_centers");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);

		printf("    data centre %-16s %-4s gathers %lld\n",
		       text_of(entry, "name"), text_of(entry, "state"),
		       number_of(entry, "gathers_usable"));
	}
}

static void print_moves(const json_t *status)
{
	const json_t *list = json_object_get(status, "moves");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);
		double share = json_real_value(json_object_get(entry, "share"));

		printf("    move %s: %s -> %s %s at %.0f%%: %s\n",
		       text_of(entry, "service"), text_of(entry, "from"),
		       text_of(entry, "to"), text_of(entry, "state"),
		       share * 100, text_of(entry, "reason"));
	}
}

static void print_front(const char *address, const json_t *status)
{
	const json_t *config = json_object_get(status, "configuration");

	printf("%-22s %-12s version %lld (%s), confirmed %lld ms ago, "
	       "members %lld/%lld\n",
	       address, text_of(status, "data_center"),
	       number_of(config, "version"), text_of(config, "submission"),
	       number_of(config, "age_ms"), number_of(status, "members_usable"),
	       number_of(status, "members"));
	print_data_centers(status);
	print_moves(status);
}

static mc_cli_exit_t show_front(const char *address, bool as_json)
{
	char url[URL_SIZE];
	json_t *status;
	char *body;

	snprintf(url, sizeof(url), "http://%s/v1/status", address);
	if (http_call_get(url, &body)) {
		printf("%-22s no answer\n", address);
		return MC_CLI_IO;
	}
	status = json_loads(body, 0, NULL);
	if (as_json)
		printf("%s\n", body);
	else if (status)
		print_front(address, status);
	json_decref(status);
	free(body);
	return MC_CLI_OK;
}

int mc_cli_status(int argc, char **argv)
{
	enum {
		FRONTS_MAX = 64,
	};
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *as_json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *fronts = arg_strn(NULL, NULL, "IP:PORT", 1, FRONTS_MAX,
					  "fronts, where callers reach them");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, as_json, fronts, end };
	const cli_usage_t usage = {
		.name = "status",
		.purpose = "Shows the version in force, its age, data centres "
			   "and moves, as each front sees them.",
		.example = "mangocove status 10.0.0.1:8080 10.0.1.1:8080",
		.table = table,
		.help = help,
		.end = end,
	};
	mc_cli_exit_t status;
	int i;

	if (cli_parse(&usage, argc, argv, &status)) {
		for (i = 0; i < fronts->count; i++)
			if (show_front(fronts->sval[i], as_json->count > 0))
				status = MC_CLI_IO;
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}
