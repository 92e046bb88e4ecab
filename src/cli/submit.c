/*
 * The command "submit": checks a configuration, shows what it changes, and
 * writes it on condition that the store still holds the version that it was
 * compared with. A write whose answer was lost is read back and recognised by
 * the submission's own id.
 */
#include "command.h"
#include "store_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
	SUBMISSION_SIZE = 64,
	READ_BACK_TRIES = 5,
	READ_BACK_WAIT_MS = 500,
};

typedef struct {
	store_caller_t *caller;
	/* What the operator wants, with the submission's id. */
	const mc_config_t *wanted;
	/* What the store holds; empty and of version 0 if nothing. */
	const mc_config_t *current;
	char id[SUBMISSION_SIZE];
} submission_t;

static void make_id(char id[SUBMISSION_SIZE])
{
	const mc_clock_t *clock = mc_clock_system();
	uint64_t seed = mc_hash_pair((uint64_t)mc_clock_wall(clock),
				     (uint64_t)getpid());

	seed = mc_hash_pair(seed, (uint64_t)mc_clock_now(clock));
	snprintf(id, SUBMISSION_SIZE, "s-%016llx", (unsigned long long)seed);
}

/* Reads what the store holds. */
static mc_err_t read_current(store_caller_t *caller, const mc_config_t **config)
{
	store_reply_t reply = store_call_read(caller, MC_STORE_CONFIG_NAME);
	mc_config_errors_t faults;
	mc_err_t err = reply.err;

	if (err == MC_ERR_NOT_FOUND) {
		*config = mc_config_create_empty();
		err = *config ? MC_OK : MC_ERR_NO_MEMORY;
	} else if (!err) {
		err = mc_config_parse(reply.data, reply.size, reply.version, 0,
				      config, &faults);
	}
	store_reply_free(&reply);
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
 * After a lost answer: the version with the submission's own id in the store
 * is the proof that it was accepted.
 */
static mc_cli_exit_t read_back(const submission_t *submission)
{
	const mc_config_t *now;
	uint64_t version;
	int try;

	for (try = 0; try < READ_BACK_TRIES; try++) {
		if (read_current(submission->caller, &now)) {
			store_caller_wait(submission->caller,
					  READ_BACK_WAIT_MS);
			continue;
		}
		version = now->version;
		if (!strcmp(now->submission, submission->id)) {
			mc_config_unref(now);
			printf("accepted as version %llu (answer was lost, "
			       "read back)\n",
			       (unsigned long long)version);
			return MC_CLI_OK;
		}
		mc_config_unref(now);
		if (version != submission->current->version)
			break;
		store_caller_wait(submission->caller, READ_BACK_WAIT_MS);
	}
	printf("unknown: the store's answer was lost; ask again with "
	       "\"mangocove submit --query %s\"\n",
	       submission->id);
	return MC_CLI_OUTCOME_UNKNOWN;
}

static mc_cli_exit_t report_race(const submission_t *submission)
{
	const mc_config_t *now;

	printf("not accepted: another change came first; version %llu is "
	       "replaced\n",
	       (unsigned long long)submission->current->version);
	if (read_current(submission->caller, &now))
		return MC_CLI_CONFLICT;
	printf("what came between, version %llu:\n",
	       (unsigned long long)now->version);
	print_changes(submission->current, now);
	mc_config_unref(now);
	return MC_CLI_CONFLICT;
}

static mc_cli_exit_t write_config(const submission_t *submission)
{
	store_reply_t reply;
	char *text;

	if (mc_config_print(submission->wanted, &text))
		return MC_CLI_IO;
	reply = store_call_write(submission->caller, MC_STORE_CONFIG_NAME,
				 submission->current->version, text);
	free(text);
	store_reply_free(&reply);
	if (!reply.err) {
		printf("accepted as version %llu\n",
		       (unsigned long long)reply.version);
		return MC_CLI_OK;
	}
	if (reply.err == MC_ERR_CONFLICT)
		return report_race(submission);
	if (reply.maybe)
		return read_back(submission);
	printf("not accepted: the store can't be reached; nothing was "
	       "written\n");
	return MC_CLI_IO;
}

static bool has_move(const mc_config_t *config, const char *service,
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
 * A move that is in force stays valid when its time has passed; a new one
 * must still have time.
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
		    has_move(submission->current, service, move))
			continue;
		fprintf(stderr,
			"move.done_by: the move of %s shall be done at a time "
			"that has passed; give a later time\n",
			service);
		return MC_CLI_BAD_INPUT;
	}
	return MC_CLI_OK;
}

static mc_cli_exit_t submit_to(submission_t *submission,
			       const mc_config_t *config, int based_on)
{
	mc_cli_exit_t status;

	if (read_current(submission->caller, &submission->current)) {
		fprintf(stderr, "the store can't be read; nothing was "
				"written\n");
		return MC_CLI_IO;
	}
	status = check_new_moves(submission, config);
	if (!status && based_on >= 0 &&
	    (uint64_t)based_on != submission->current->version) {
		printf("not accepted: made from version %d, the store holds "
		       "version %llu\n",
		       based_on,
		       (unsigned long long)submission->current->version);
		status = MC_CLI_CONFLICT;
	}
	if (status != MC_CLI_BAD_INPUT)
		print_changes(submission->current, config);
	if (!status && mc_config_with_submission(config, submission->id,
						 &submission->wanted))
		status = MC_CLI_IO;
	if (!status) {
		printf("submission %s\n", submission->id);
		fflush(stdout);
		status = write_config(submission);
		mc_config_unref(submission->wanted);
	}
	mc_config_unref(submission->current);
	return status;
}

/*
 * Tells whether the submission @id is what the store holds. If another one is
 * there, @id may have been accepted before it, or never.
 */
static mc_cli_exit_t query(store_caller_t *caller, const char *id)
{
	const mc_config_t *now;
	mc_cli_exit_t status = MC_CLI_OK;

	if (read_current(caller, &now)) {
		printf("unknown: the store can't be read; ask again\n");
		return MC_CLI_OUTCOME_UNKNOWN;
	}
	if (!strcmp(now->submission, id)) {
		printf("accepted as version %llu\n",
		       (unsigned long long)now->version);
	} else {
		printf("unknown: version %llu is submission %s; %s may have "
		       "been accepted before it\n",
		       (unsigned long long)now->version, now->submission, id);
		status = MC_CLI_OUTCOME_UNKNOWN;
	}
	mc_config_unref(now);
	return status;
}

static mc_cli_exit_t submit_file(store_caller_t *caller, const char *name,
				 int based_on)
{
	submission_t submission = { .caller = caller };
	const mc_config_t *config;
	mc_cli_exit_t status = cli_read_config(name, 0, &config);

	if (status)
		return status;
	make_id(submission.id);
	status = submit_to(&submission, config, based_on);
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
	struct arg_str *asked = arg_str0(
		NULL, "query", "ID", "ask whether a submission was accepted");
	struct arg_file *file = arg_file0(NULL, NULL, "FILE|-",
					  "configuration; - is standard input");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, platform, based_on, asked, file, end };
	const cli_usage_t usage = {
		.name = "submit",
		.purpose = "Checks a configuration, shows what it changes and "
			   "submits it.",
		.example = "./garden | mangocove submit --platform "
			   "10.0.0.9:7000 -",
		.table = table,
		.help = help,
		.end = end,
	};
	mc_cli_exit_t status;
	store_caller_t *caller;

	if (cli_parse(&usage, argc, argv, &status)) {
		caller = store_caller_create(platform->sval[0]);
		if (!caller)
			status = MC_CLI_IO;
		else if (asked->count)
			status = query(caller, asked->sval[0]);
		else if (file->count)
			status = submit_file(caller, file->filename[0],
					     based_on->count ? based_on->ival[0]
							     : -1);
		else
			status = MC_CLI_BAD_INPUT;
		if (caller)
			store_caller_destroy(caller);
	}
	arg_freetable(table, MC_ARRAY_LEN(table));
	return status;
}
