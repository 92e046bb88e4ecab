/*
 * The command "status": requests the status of fronts. For each front it prints
 * a line about the front, and then the data centres and moves as it sees them.
 */
#include "command.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_get.h"

enum {
	URL_SIZE = 128,
};

static const char *get_string(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "?";
}

static long long get_integer(const json_t *object, const char *key)
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
		       get_string(entry, "name"), get_string(entry, "state"),
		       get_integer(entry, "gathers_usable"));
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
		       get_string(entry, "service"), get_string(entry, "from"),
		       get_string(entry, "to"), get_string(entry, "state"),
		       share * 100, get_string(entry, "reason"));
	}
}

static void print_front(const char *address, const json_t *status)
{
	const json_t *config = json_object_get(status, "configuration");

	printf("%-22s %-12s version %lld (%s), confirmed %lld ms ago, "
	       "members %lld/%lld\n",
	       address, get_string(status, "data_center"),
	       get_integer(config, "version"), get_string(config, "submission"),
	       get_integer(config, "age_ms"),
	       get_integer(status, "members_usable"),
	       get_integer(status, "members"));
	print_data_centers(status);
	print_moves(status);
}

static mc_cli_exit_t show_front(const char *address, bool as_json)
{
	char url[URL_SIZE];
	json_t *status;
	char *body;

	snprintf(url, sizeof(url), "http://%s/v1/status", address);
	if (http_get(url, &body)) {
		printf("%-22s no response\n", address);
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
					  "addresses of fronts for callers");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, as_json, fronts, end };
	const cli_usage_t usage = {
		.name = "status",
		.purpose = "Shows the configuration in force, its age, data "
			   "centres and moves as each front sees them.",
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
