/*
 * Evidence of how targets are doing at this moment. What this data shard sees
 * goes by the control shard to the process's other data shards and to the other
 * instances of the data centre; only what differs from what is known is
 * reported. All of it begins once a target has told its load.
 */
#include "evidence.h"

#include <stdlib.h>

enum {
	/* Shortest time between two looks for overdue requests, ms. */
	OVERDUE_LOOK_MIN_MS = 4,
};

/* Reports on their way between the control shard and a data shard, which frees
 * them. Ages count from @at. */
typedef struct {
	tier_process_t *process;
	mc_ms_t at;
	uint32_t count;
	mc_replica_report_t reports[];
} report_message_t;

uint32_t evidence_key(const mc_target_entry_t *entry)
{
	uint64_t key = mc_hash_pair(mc_hash_string(entry->id),
				    (uint64_t)entry->started_at);

	return (uint32_t)key;
}

static report_message_t *make_message(tier_process_t *process,
				      const mc_replica_report_t *reports,
				      uint32_t count, mc_ms_t now)
{
	report_message_t *message =
		malloc(sizeof(*message) + count * sizeof(*reports));
	uint32_t i;

	if (!message)
		return NULL;
	message->process = process;
	message->at = now;
	message->count = count;
	for (i = 0; i < count; i++)
		message->reports[i] = reports[i];
	return message;
}

/* Applies reports to the targets that they name. */
static void apply_reports(tier_t *tier, const report_message_t *message)
{
	mc_ms_t now = mc_shard_now(tier->shard);
	mc_replica_report_t reports;
	uint32_t cursor = 0, i;
	mc_handle_t handle;
	target_t *target;

	while ((target = mc_table_next(tier->targets, &cursor, &handle)))
		for (i = 0; i < message->count; i++) {
			reports = message->reports[i];
			if (reports.target != target->evidence_key)
				continue;
			reports.age += now - message->at;
			mc_replica_evidence_apply(&target->evidence, &reports,
						  now);
		}
}

static void receive_reports(mc_shard_t *shard, void *arg)
{
	report_message_t *message = arg;
	tier_t *tier = mc_runtime_shard_state(message->process->runtime,
					      mc_shard_index(shard));

	if (tier)
		apply_reports(tier, message);
	free(message);
}

void evidence_receive(void *ctx, const mc_replica_report_t *reports,
		      uint32_t count)
{
	tier_process_t *process = ctx;
	mc_runtime_t *runtime = process->runtime;
	mc_ms_t now = mc_shard_now(mc_runtime_control_shard(runtime));
	report_message_t *message;
	uint32_t i;

	for (i = 0; i < mc_runtime_shard_count(runtime); i++) {
		message = make_message(process, reports, count, now);
		if (message && mc_shard_post(mc_runtime_shard(runtime, i),
					     receive_reports, message))
			free(message);
	}
}

/* Sends what a data shard has seen to the other instances, on the control
 * shard.
 */
static void send_reports(mc_shard_t *shard, void *arg)
{
	report_message_t *message = arg;
	tier_process_t *process = message->process;
	mc_ms_t now = mc_shard_now(shard);
	uint32_t i;

	for (i = 0; i < message->count; i++)
		message->reports[i].age += now - message->at;
	mc_discovery_send_evidence(process->discovery, message->reports,
				   message->count);
	if (mc_runtime_shard_count(process->runtime) > 1)
		evidence_receive(process, message->reports, message->count);
	free(message);
}

/* Passes the reports of this turn of the loop to the control shard. */
static void flush_reports(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	report_message_t *message =
		make_message(tier->process, tier->reports, tier->report_count,
			     mc_shard_now(shard));

	tier->report_count = 0;
	if (message &&
	    mc_shard_post(mc_runtime_control_shard(tier->process->runtime),
			  send_reports, message))
		free(message);
}

static void add_report(tier_t *tier, const target_t *target, bool silent)
{
	if (tier->report_count >= TIER_REPORTS_MAX)
		return;
	if (!tier->report_count &&
	    mc_shard_defer(tier->shard, flush_reports, tier))
		return;
	tier->reports[tier->report_count++] = (mc_replica_report_t){
		.target = target->evidence_key,
		.pace = target->evidence.pace,
		.silent = silent,
	};
	mc_counter_add(mc_shard_counters(tier->shard), MC_COUNTER_EVIDENCE_TOLD,
		       1);
}

/* Records that a target is silent if the attempt is overdue. Returns when it
 * will be; MC_MS_NEVER if that was recorded or does not matter. */
static mc_ms_t check_attempt(tier_t *tier, attempt_t *attempt, mc_ms_t now)
{
	target_t *target = mc_table_get(tier->targets, attempt->target);
	const conn_t *conn = mc_table_get(tier->conns, attempt->conn);
	mc_ms_t at;

	/* Before it is connected, nothing was sent. */
	if (attempt->is_overdue || !target || !conn || !conn->is_open)
		return MC_MS_NEVER;
	at = mc_replica_evidence_overdue(&target->evidence, attempt->sent_at,
					 attempt->typical_latency, now);
	if (at > now)
		return at;
	attempt->is_overdue = true;
	if (mc_replica_evidence_silence(&target->evidence, attempt->sent_at,
					now)) {
		mc_log(tier->log, MC_LOG_DEBUG, "tier",
		       "target silent target=%s waited_ms=%lld usual_ms=%.0f",
		       target->entry.id, (long long)(now - attempt->sent_at),
		       attempt->typical_latency);
		add_report(tier, target, true);
	}
	return MC_MS_NEVER;
}

static void set_overdue_timer(tier_t *tier, mc_ms_t at);

static void look_for_overdue(mc_shard_t *shard, void *arg)
{
	tier_t *tier = arg;
	mc_ms_t now = mc_shard_now(shard), next = MC_MS_NEVER, at;
	uint32_t cursor = 0;
	mc_handle_t handle;
	attempt_t *attempt;

	tier->overdue_timer = MC_HANDLE_NONE;
	while ((attempt = mc_table_next(tier->attempts, &cursor, &handle))) {
		at = check_attempt(tier, attempt, now);
		if (at < next)
			next = at;
	}
	if (next != MC_MS_NEVER)
		set_overdue_timer(tier, next);
}

static void set_overdue_timer(tier_t *tier, mc_ms_t at)
{
	mc_ms_t first = mc_shard_now(tier->shard) + OVERDUE_LOOK_MIN_MS;

	if (at < first)
		at = first;
	if (tier->overdue_timer.generation && tier->overdue_at <= at)
		return;
	mc_timer_cancel(tier->shard, tier->overdue_timer);
	tier->overdue_at = at;
	if (mc_timer_set(tier->shard, at, look_for_overdue, tier,
			 &tier->overdue_timer))
		tier->overdue_timer = MC_HANDLE_NONE;
}

void evidence_on_send(tier_t *tier, const target_t *target,
		      const attempt_t *attempt)
{
	mc_ms_t at;

	if (!tier->shares_evidence)
		return;
	at = mc_replica_evidence_overdue(&target->evidence, attempt->sent_at,
					 attempt->typical_latency,
					 mc_shard_now(tier->shard));
	if (at != MC_MS_NEVER)
		set_overdue_timer(tier, at);
}

/* Others begin to send their reports once this instance sends its own, even if
 * there are none. */
static void begin_sharing(tier_t *tier)
{
	tier->shares_evidence = true;
	mc_log(tier->log, MC_LOG_NOTICE, "tier",
	       "targets tell their load: how they are doing is told to others");
	if (!tier->report_count)
		flush_reports(tier->shard, tier);
}

void evidence_on_response(tier_t *tier, target_t *target,
			  const mc_tier_response_info_t *response)
{
	mc_replica_evidence_t *evidence = &target->evidence;
	mc_ms_t now = mc_shard_now(tier->shard);
	bool was_silent = evidence->silent_since > evidence->responded_at;
	mc_ms_t silent_since = evidence->silent_since;

	if (!tier->shares_evidence && response->has_load)
		begin_sharing(tier);
	if (!tier->shares_evidence)
		return;
	if (was_silent)
		mc_replica_silences_record(&tier->silences, now - silent_since);
	if (mc_replica_evidence_respond(evidence, response->pace, now))
		add_report(tier, target, false);
}
