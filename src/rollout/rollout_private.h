/*
 * State of a set of roll-outs, shared by the files of this library.
 */
#ifndef MC_ROLLOUT_PRIVATE_H
#define MC_ROLLOUT_PRIVATE_H

#include "mc/rollout.h"

enum {
	ROLLOUT_REASON_SIZE = 128,
};

/**
 * struct order_t - an order, or a version that is barred since a former one
 * @handle: its handle
 * @order: the order as last read
 * @key: hash of service and version
 * @started_at: when the order was given, as far as is known, ms
 * @former_revision: the service's former orders have at most this revision; 0
 *	if unknown
 * @is_current: it is the service's order; otherwise only its version is barred
 * @listed: it was part of the list being read
 * @had_old: the service had targets of another version since the order was read
 * @has_mode: a rule applies to the version
 * @mode: the rule's mode
 * @pending_state: state to be written; MC_ROLLOUT_NEW if there is none
 * @write_at: when it is written next, ms; 0 until a time is chosen
 * @kept_until: the store has come back older and did not list the order since:
 *	it is kept until then, ms; MC_MS_NEVER before the first list is
 *complete, 0 if the order was listed
 * @verdict: final state that was decided before the store came back older;
 *	MC_ROLLOUT_NEW if there is none
 * @settled_until: after success, when the old targets are certainly gone, ms
 * @reason: reason of the last decision
 */
typedef struct order_t {
	mc_handle_t handle;
	mc_rollout_order_t order;
	uint64_t key;
	mc_ms_t started_at;
	uint64_t former_revision;
	bool is_current;
	bool listed;
	bool had_old;
	bool has_mode;
	mc_rollout_mode_t mode;
	mc_rollout_state_t pending_state;
	mc_ms_t write_at;
	mc_ms_t kept_until;
	mc_rollout_state_t verdict;
	mc_ms_t settled_until;
	char reason[ROLLOUT_REASON_SIZE];
} order_t;

/**
 * struct row_t - a row of evidence of one instance
 * @origin: name of the instance
 * @is_own: it was counted by this process
 * @key: hash of service and version
 * @received_at: when it was received, ms
 * @evidence: the row
 */
typedef struct row_t {
	mc_handle_t handle;
	char origin[MC_ROLLOUT_NAME_SIZE];
	bool is_own;
	uint64_t key;
	mc_ms_t received_at;
	mc_rollout_evidence_t evidence;
} row_t;

struct mc_rollouts_t {
	char self[MC_ROLLOUT_NAME_SIZE];
	double share;
	/* Records are order_t. */
	mc_table_t *orders;
	/* Records are row_t. */
	mc_table_t *rows;
	bool rules_changed;
	/* The first list since the store came back older was not read yet. */
	bool begins_era;
	/* Own evidence about a new version, or a rejection, is to be sent. */
	bool evidence_urgent;
	/* Own evidence about old versions has changed. */
	bool evidence_changed;
	mc_ms_t evidence_sent_at;
};

/** order_has_ended() - Whether the store has the order's final state */
bool order_has_ended(const order_t *order);

/** order_find() - Find the order of a version; NULL without one */
order_t *order_find(const mc_rollouts_t *rollouts, const char *service,
		    const char *version);

/** rollouts_expire_forgotten() - Remove orders that the store has forgotten,
 * and that were not written again in time */
void rollouts_expire_forgotten(mc_rollouts_t *rollouts, mc_ms_t now);

/** evidence_begin_era() - Tell own evidence again, if there is any */
void evidence_begin_era(mc_rollouts_t *rollouts);

/** rollout_key() - Hash a service and a version */
uint64_t rollout_key(const char *service, const char *version);

/* evidence.c */

/** evidence_drop() - Remove all evidence of an order */
void evidence_drop(mc_rollouts_t *rollouts, uint64_t key);

/** evidence_reject() - Note in the own evidence that the version is worse */
void evidence_reject(mc_rollouts_t *rollouts, uint64_t key);

/**
 * struct evidence_sum_t - sum of all instances' evidence on one route
 * @route: the route
 * @preferred: of the time in which the version was preferred
 * @old: outcomes of the old versions, of the time before that
 * @new: outcomes of the new version
 */
typedef struct evidence_sum_t {
	const char *route;
	bool preferred;
	mc_rollout_counts_t old;
	mc_rollout_counts_t new;
} evidence_sum_t;

/**
 * evidence_sum() - Sum up the evidence of an order by route
 * @rollouts: the set
 * @order: the order; its start is set back to the earliest that is told
 * @sums: receives the sums
 * @max: size of @sums; further routes are added to the last one
 * @rejected_by: receives the instance that rejected the version, or NULL
 *
 * Return: number of sums.
 */
uint32_t evidence_sum(const mc_rollouts_t *rollouts, order_t *order,
		      evidence_sum_t *sums, uint32_t max,
		      const char **rejected_by);

#endif
