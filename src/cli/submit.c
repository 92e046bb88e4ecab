/*
 * The command "submit": validates a configuration, prints what it changes, and
 * writes it if the store still holds the version that it was compared with. If
 * the response to the write is lost, the object is read back and compared by
 * the unique id of the submission.
 */
#include "command.h"
#include "sync_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	SUBMISSION_ID_SIZE = 64,
	READ_BACKS_MAX = 5,
	READ_BACK_WAIT_MS = 500,
};

typedef struct {
	sync_store_t *sync_store;
	/* The configuration to write, with the submission's id. */
	const mc_config_t *new_config;
	/* The stored configuration; empty and of version 0 if there is none. */
	const mc_config_t *current;
	char id[SUBMISSION_ID_SIZE];
} submission_t;

static void make_id(char id[SUBMISSION_ID_SIZE])
{
	const mc_clock_t *clock = mc_clock_system();
	uint64_t seed = mc_hash_pair((uint64_t)mc_clock_wall(clock),
				     (uint64_t)getpid());

	seed = mc_hash_pair(seed, (uint64_t)mc_clock_now(clock));
	snprintf(id, SUBMISSION_ID_SIZE, "s-%016llx", (unsigned long long)seed);
}

/* Reads the stored configuration; an empty one if there is none. */
static mc_err_t read_current(sync_store_t *sync_store,
			     const mc_config_t **config)
{
	sync_store_result_t result =
		sync_store_read(sync_store, MC_STORE_CONFIG_NAME);
	mc_config_errors_t errors;
	mc_err_t err = result.err;

	if (err == MC_ERR_NOT_FOUND) {
		*config = mc_config_create_empty();
		err = *config ? MC_OK : MC_ERR_NO_MEMORY;
	} else if (!err) {
		err = mc_config_parse(result.data, result.size, result.version,
				      0, config, &errors);
	}
	sync_store_result_free(&result);
	return err;
}

static void print_changes(const mc_config_t *before, const mc_config_t *after)
{
	char *text;

	if (mc_config_diff(before, after, &text))
		return;
	fputs(*text ? text : "no change\n", stdout);
	free(text);
}

/*
 * Finds out whether a write was accepted whose response was lost. Only the
 * submission's id in the stored configuration proves that it was.
 */
static mc_cli_exit_t verify_by_reading(const submission_t *submission)
{
	const mc_config_t *stored;
	uint64_t version;
	int i;

	for (i = 0; i < READ_BACKS_MAX; i++) {
		if (read_current(submission->sync_store, &stored)) {
			sync_store_sleep(submission->sync_store,
					 READ_BACK_WAIT_MS);
			continue;
		}
		version = stored->version;
		if (!strcmp(stored->submission, submission->id)) {
			mc_config_unref(stored);
			printf("accepted as version %llu (response was lost; "
			       "verified by reading the store)\n",
			       (unsigned long long)version);
			return MC_CLI_OK;
		}
		mc_config_unref(stored);
		if (version != submission->current->version)
			break;
		sync_store_sleep(submission->sync_store, READ_BACK_WAIT_MS);
	}
	printf("unknown: the store's response was lost; check later with "
	       "\"mangocove submit --query %s\"\n",
	       submission->id);
	return MC_CLI_OUTCOME_UNKNOWN;
}

static mc_cli_exit_t report_conflict(const submission_t *submission)
{
	const mc_config_t *stored;

	printf("not accepted: conflict with another change; version %llu was "
	       "replaced\n",
	       (unsigned long long)submission->current->version);
	if (read_current(submission->sync_store, &stored))
		return MC_CLI_CONFLICT;
	printf("changes in the store since then, now version %llu:\n",
	       (unsigned long long)stored->version);
	print_changes(submission->current, stored);
	mc_config_unref(stored);
	return MC_CLI_CONFLICT;
}

static mc_cli_exit_t write_config(const submission_t *submission)
{
	sync_store_result_t result;
	char *text;

	if (mc_config_print(submission->new_config, &text))
		return MC_CLI_IO;
	result = sync_store_write(submission->sync_store, MC_STORE_CONFIG_NAME,
				  submission->current->version, text);
	free(text);
	sync_store_result_free(&result);
	if (!result.err) {
		printf("accepted as version %llu\n",
		       (unsigned long long)result.version);
		return MC_CLI_OK;
	}
	if (result.err == MC_ERR_CONFLICT)
		return report_conflict(submission);
	if (result.may_have_applied)
		return verify_by_reading(submission);
	printf("not accepted: the store cannot be reached; nothing was "
	       "written\n");
	return MC_CLI_IO;
}

static bool contains_move(const mc_config_t *config, const char *service,
			  const mc_move_t *move)
{
	uint32_t i;

	for (i = 0; i < config->move_count; i++) {
		const mc_move_t *other = &config->moves[i];

		if (!strcmp(config->services[other->service].name, service) &&
		    !strcmp(other->from, move->from) &&
		    !strcmp(other->to, move->to) && other->start == move->start)
			return true;
	}
	return false;
}

/*
 * Rejects new moves that are due in the past. A move that the store already
 * holds stays valid after its time has passed.
 */
static mc_cli_exit_t check_new_moves(const submission_t *submission,
				     const mc_config_t *config)
{
	mc_ms_t now = mc_clock_wall(mc_clock_system());
	uint32_t i;

	for (i = 0; i < config->move_count; i++) {
		const mc_move_t *move = &config->moves[i];
		const char *service = config->services[move->service].name;

		if (move->done_by > now || move->taken_back ||
		    contains_move(submission->current, service, move))
			continue;
		fprintf(stderr,
			"move.done_by: the move of %s is due at a time in the "
			"past; set a later time\n",
			service);
		return MC_CLI_BAD_INPUT;
	}
	return MC_CLI_OK;
}

static mc_cli_exit_t submit_config(submission_t *submission,
				   const mc_config_t *config, int based_on)
{
	mc_cli_exit_t status;

	if (read_current(submission->sync_store, &submission->current)) {
		fprintf(stderr, "the store cannot be read; nothing was "
				"written\n");
		return MC_CLI_IO;
	}
	status = check_new_moves(submission, config);
	if (!status && based_on >= 0 &&
	    (uint64_t)based_on != submission->current->version) {
		printf("not accepted: based on version %d, but the store holds "
		       "version %llu\n",
		       based_on,
		       (unsigned long long)submission->current->version);
		status = MC_CLI_CONFLICT;
	}
	if (status != MC_CLI_BAD_INPUT)
		print_changes(submission->current, config);
	if (!status && mc_config_with_submission(config, submission->id,
						 &submission->new_config))
		status = MC_CLI_IO;
	if (!status) {
		printf("submission %s\n", submission->id);
		fflush(stdout);
		status = write_config(submission);
		mc_config_unref(submission->new_config);
	}
	mc_config_unref(submission->current);
	return status;
}

/*
 * Prints whether the stored configuration is that of the submission @id. If it
 * is another one, @id may have been accepted before that, or never.
 */
static mc_cli_exit_t query_submission(sync_store_t *sync_store, const char *id)
{
	const mc_config_t *stored;
	mc_cli_exit_t status = MC_CLI_OK;

	if (read_current(sync_store, &stored)) {
		printf("unknown: the store cannot be read; try again later\n");
		return MC_CLI_OUTCOME_UNKNOWN;
	}
	if (!strcmp(stored->submission, id)) {
		printf("accepted as version %llu\n",
		       (unsigned long long)stored->version);
	} else {
		printf("unknown: version %llu is from submission %s; %s may "
		       "have been accepted before it\n",
		       (unsigned long long)stored->version, stored->submission,
		       id);
		status = MC_CLI_OUTCOME_UNKNOWN;
	}
	mc_config_unref(stored);
	return status;
}

static mc_cli_exit_t submit_file(sync_store_t *sync_store, const char *name,
				 int based_on)
{
	submission_t submission = { .sync_store = sync_store };
	const mc_config_t *config;
	mc_cli_exit_t status = cli_read_config(name, 0, &config);

	if (status)
		return status;
	make_id(submission.id);
	status = submit_config(&submission, config, based_on);
	mc_config_unref(config);
	return status;
}

int mc_cli_submit(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform =
		arg_str1(NULL, "platform", "IP:PORT", "the platform's store");
	struct arg_int *based_on =
		arg_int0(NULL, "based-on", "VERSION",
			 "accept only if the store holds this version");
	struct arg_str *query_id = arg_str0(
		NULL, "query", "ID", "query whether a submission was accepted");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE|-",
					  "configuration; - is standard input");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, platform, based_on, query_id, file, end };
	const cli_usage_t usage = {
		.name = "submit",
		.purpose = "Validates a configuration, prints what it changes "
			   "and submits it.",
		.example = "./garden | mangocove submit --platform "
			   "10.0.0.9:7000 -",
		.table = table,
		.help = help,
		.end = end,
	};
	mc_cli_exit_t status;
	sync_store_t *sync_store;

	if (cli_parse(&usage, argc, argv, &status)) {
		sync_store = sync_store_create(platform->sval[0]);
		if (!sync_store)
			status = MC_CLI_IO;
		else if (query_id->count)
			status =
				query_submission(sync_store, query_id->sval[0]);
		else if (file->count)
			status = submit_file(sync_store, file->filename[0],
					     based_on->count ? based_on->ival[0]
							     : -1);
		else
			status = MC_CLI_BAD_INPUT;
		if (sync_store)
			sync_store_destroy(sync_store);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}
