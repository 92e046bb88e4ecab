/*
 * The schema of a settings file and the default values.
 */
#include "keys.h"

#include <string.h>

enum {
	GRACE_MS_MAX = 600000,
	APPLY_MS_MIN = 500,
	EXTRA_PERCENT_MAX = 100,
	CONCURRENCY_MAX = 1000000,
	MEMORY_MB_MIN = 32,
	/* Lowest allowed port; 0 lets the kernel choose a port to listen on. */
	PORT_MIN_NONZERO = 1,
	PORT_MIN_ZERO = 0,
};

static const char *const replicas[] = { "two_choices", "round_robin", "hash",
					NULL };
static const char *const limits[] = { "adaptive", "fixed", "none", NULL };
static const char *const ramps[] = { "on", "off", NULL };
static const char *const hedges[] = { "p95", "none", NULL };
static const char *const retries[] = { "budget", "none", "unbounded", NULL };
static const char *const admissions[] = { "class", "none", NULL };

#define FIELD(field) .offset = offsetof(mc_settings_t, field)
#define NAME .kind = &settings_kind_name
#define ADDRESS(port) .kind = &settings_kind_address, .min = (port)
#define PEERS .kind = &settings_kind_peers, .min = PORT_MIN_NONZERO
#define U32(low, high) .kind = &settings_kind_u32, .min = (low), .max = (high)
#define U64(low, high) .kind = &settings_kind_u64, .min = (low), .max = (high)
#define DURATION(low, high) \
	.kind = &settings_kind_duration, .min = (low), .max = (high)
#define AMOUNT(low, high) \
	.kind = &settings_kind_amount, .min = (low), .max = (high)
#define SHARE .kind = &settings_kind_share
#define LEVEL .kind = &settings_kind_level
#define CHOICE(list) .kind = &settings_kind_choice, .choices = (list)

static const settings_key_t keys[] = {
	{ NULL, "data_center", NAME, FIELD(data_center), KEY_REQUIRED },
	{ NULL, "platform", ADDRESS(PORT_MIN_NONZERO), FIELD(platform_address),
	  .requirement = KEY_REQUIRED },
	{ NULL, "peers", PEERS, FIELD(peers) },
	{ NULL, "shards", U32(1, MC_THREADS_MAX), FIELD(shards) },
	{ NULL, "log_level", LEVEL, FIELD(log_level) },
	{ NULL, "seed", U64(0, INT64_MAX), FIELD(seed) },
	{ NULL, "grace_ms", DURATION(0, GRACE_MS_MAX), FIELD(grace_period) },
	{ "front", "callers", ADDRESS(PORT_MIN_ZERO),
	  FIELD(front_caller_address), .requirement = KEY_REQUIRED_BY_FRONT },
	{ "front", "peer", ADDRESS(PORT_MIN_ZERO), FIELD(front_peer_address),
	  .requirement = KEY_REQUIRED_BY_FRONT },
	{ "gather", "peer", ADDRESS(PORT_MIN_ZERO), FIELD(gather_peer_address),
	  .requirement = KEY_REQUIRED_BY_GATHER },
	{ "tier", "instance", NAME, FIELD(instance),
	  .requirement = KEY_REQUIRED_BY_TIER },
	{ "tier", "callers", ADDRESS(PORT_MIN_ZERO), FIELD(tier_caller_address),
	  .requirement = KEY_REQUIRED_BY_TIER },
	{ "tier", "ready", ADDRESS(PORT_MIN_ZERO), FIELD(readiness_address),
	  .requirement = KEY_REQUIRED_BY_TIER },
	{ "tier", "metrics", ADDRESS(PORT_MIN_ZERO), FIELD(metrics_address) },
	{ "tier", "peers", ADDRESS(PORT_MIN_ZERO), FIELD(tier_peer_address) },
	{ "tier", "notice_ms", DURATION(0, GRACE_MS_MAX),
	  FIELD(notice_period) },
	{ "tier", "apply_ms", DURATION(APPLY_MS_MIN, GRACE_MS_MAX),
	  FIELD(apply_max) },
	{ "tier", "drain_ms", DURATION(APPLY_MS_MIN, GRACE_MS_MAX),
	  FIELD(drain_period) },
	{ "tier", "history_ms", DURATION(APPLY_MS_MIN, GRACE_MS_MAX),
	  FIELD(history_period) },
	{ "tier", "extra_share", SHARE, FIELD(extra_share) },
	{ "tier", "extra_window_ms", DURATION(1, GRACE_MS_MAX),
	  FIELD(extra_window) },
	{ "tier", "extra_slack", AMOUNT(0, CONCURRENCY_MAX),
	  FIELD(extra_slack) },
	{ "tier", "rollout_share", SHARE, FIELD(rollout_share) },
	{ "tier", "memory_mb", U32(MEMORY_MB_MIN, CONCURRENCY_MAX),
	  FIELD(memory_mb) },
	{ "tier", "usage", ADDRESS(PORT_MIN_NONZERO), FIELD(usage_address) },
	{ "tier", "usage_window_ms", DURATION(0, GRACE_MS_MAX),
	  FIELD(usage_window) },
	{ "tier", "usage_report_ms", DURATION(0, GRACE_MS_MAX),
	  FIELD(usage_report_max) },
	{ "tier", "lease_ms", DURATION(APPLY_MS_MIN, GRACE_MS_MAX),
	  FIELD(lease_duration) },
	{ "policy", "owners", U32(1, MC_OWNERS_MAX), FIELD(policy.owners) },
	{ "policy", "replica", CHOICE(replicas), FIELD(policy.replica) },
	{ "policy", "limit", CHOICE(limits), FIELD(policy.limit) },
	{ "policy", "ramp", CHOICE(ramps), FIELD(policy.ramp) },
	{ "policy", "hedge", CHOICE(hedges), FIELD(policy.hedge) },
	{ "policy", "retry", CHOICE(retries), FIELD(policy.retry) },
	{ "policy", "admission", CHOICE(admissions), FIELD(policy.admission) },
	{ "policy", "extra_percent", U32(0, EXTRA_PERCENT_MAX),
	  FIELD(policy.extra_percent) },
	{ "policy", "concurrency", U32(1, CONCURRENCY_MAX),
	  FIELD(policy.concurrency) },
};

size_t settings_key_count(void)
{
	return MC_ARRAY_LEN(keys);
}

const settings_key_t *settings_key_at(size_t index)
{
	return &keys[index];
}

static bool is_same_table(const char *a, const char *b)
{
	return a == b || (a && b && !strcmp(a, b));
}

const settings_key_t *settings_key_find(const char *table, const char *name)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(keys); i++)
		if (is_same_table(keys[i].table, table) &&
		    !strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

bool settings_is_table(const char *name)
{
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(keys); i++)
		if (keys[i].table && !strcmp(keys[i].table, name))
			return true;
	return false;
}

void settings_set_defaults(mc_settings_t *settings)
{
	*settings = (mc_settings_t){
		.shards = 2,
		.log_level = MC_LOG_INFO,
		.grace_period = 10000,
		.notice_period = 2500,
		.apply_max = 3000,
		.drain_period = 3000,
		.history_period = 20000,
		.extra_share = 0.2,
		.extra_window = 10000,
		.extra_slack = 50,
		.rollout_share = 0.1,
		.memory_mb = 256,
		.usage_report_max = 10000,
		.lease_duration = 3000,
		.policy = {
			.owners = 8,
			.replica = "two_choices",
			.limit = "adaptive",
			.ramp = "on",
			.hedge = "p95",
			.retry = "budget",
			.admission = "class",
			.extra_percent = 5,
			.concurrency = 1024,
		},
	};
}
