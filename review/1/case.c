/*
 * The searchers of a service name a limit and turn requests away. Meanwhile
 * clients of another service, whose searcher is sound, wait for answers on kept
 * connections.
 */
#include "harness.h"

#include <unistd.h>

enum {
	TIERS = 2,
	/* Kept connections to each process. */
	CLIENTS = 8,
	DESK_WORK_MS = 800,
	DEADLINE_MS = 3000,
	RUN_MS = 20000,
	/* So many ends of so many processes break the rule. */
	ENDS_MIN = 3,
	PROCESSES_MIN = 2,
	RESTART_MS = 500,
};

static tier_t *tiers[TIERS];
static searcher_t *desk;
static volatile bool stopping;
static int lost, answered;

/* Turns all requests away; with the disruption it also names a limit. */
static void refuse(searcher_t *searcher, const message_t *request,
		   answer_t *answer)
{
	(void)searcher;
	(void)request;
	answer->status = 503;
	answer->not_run = true;
	if (trouble())
		snprintf(answer->headers, sizeof(answer->headers),
			 "Server-Limit: 2\r\n");
}

/* A client of the sound service. */
static void *run_client(void *arg)
{
	const tier_t *tier = arg;
	static __thread message_t message;
	char attempt[NAME_SIZE];
	int fd = -1;

	while (!stopping) {
		if (fd < 0)
			fd = client_connect(tier->port);
		if (fd < 0) {
			sleep_ms(50);
			continue;
		}
		attempt_new(attempt);
		if (client_send(fd, "POST", "/desk/x", attempt, DEADLINE_MS,
				"plant") &&
		    client_read(fd, &message, false)) {
			__atomic_add_fetch(&answered, 1, __ATOMIC_RELAXED);
			continue;
		}
		close(fd);
		fd = -1;
		sleep_ms(10);
		if (!searcher_runs(desk, attempt))
			continue;
		__atomic_add_fetch(&lost, 1, __ATOMIC_RELAXED);
		record("client: attempt %s at %s was run, and its connection "
		       "ended without an answer",
		       attempt, tier->name);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static const char *const names[TIERS] = { "front-a-1", "front-b-1" };
	static message_t message;
	char attempt[NAME_SIZE], how[NAME_SIZE], verdict[256];
	int ends[TIERS] = { 0 }, looping = 0, i, turn;
	searcher_t *searcher;
	int64_t end;

	if (argc != 2)
		return EXIT_NOT_RUN;
	harness_init(argv[1]);
	store_start();
	config_put(3);
	desk = searcher_new("desk", "i-desk", "a");
	desk->work_ms = DESK_WORK_MS;
	desk->slots = TIERS * CLIENTS;
	searcher_register(desk, "ready");
	for (i = 0; i < 2; i++) {
		searcher = searcher_new("plants", i ? "i-2" : "i-1", "a");
		searcher->handler = refuse;
		searcher_register(searcher, "ready");
	}
	for (i = 0; i < TIERS; i++)
		tiers[i] = tier_new(names[i], i ? "b" : "a");
	for (i = 0; i < TIERS; i++)
		if (!tier_wait_ready(tiers[i], 10000))
			harness_exit(EXIT_NOT_RUN, "not ready at the start");
	for (i = 0; i < TIERS * CLIENTS; i++)
		thread_start(run_client, tiers[i % TIERS]);
	sleep_ms(CONTACT_MS);
	end = now_ms() + RUN_MS;
	for (turn = 0; now_ms() < end; turn++) {
		i = turn % TIERS;
		attempt_new(attempt);
		record("client: attempt %s at %s: status %d", attempt,
		       tiers[i]->name,
		       client_call(tiers[i]->port, "GET", "/one/x", attempt,
				   DEADLINE_MS, &message));
		sleep_ms(200);
		if (!tier_has_ended(tiers[i], how, sizeof(how)))
			continue;
		/* The platform starts it again. */
		ends[i]++;
		sleep_ms(RESTART_MS);
		tier_start(tiers[i]);
		tier_wait_ready(tiers[i], 10000);
		sleep_ms(DESK_WORK_MS / 2);
	}
	stopping = true;
	for (i = 0; i < TIERS; i++)
		looping += ends[i] >= ENDS_MIN;
	snprintf(verdict, sizeof(verdict),
		 "processes ended by themselves %d and %d times: Fault %s; of "
		 "other clients' requests %d were answered, %d lost",
		 ends[0], ends[1], looping >= PROCESSES_MIN ? "broken" : "held",
		 answered, lost);
	if (!answered)
		harness_exit(EXIT_NOT_RUN, "nothing answered");
	harness_exit(looping >= PROCESSES_MIN ? EXIT_BROKEN : EXIT_HELD,
		     verdict);
}
