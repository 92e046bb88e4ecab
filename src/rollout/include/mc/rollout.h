/*
 * Public header of the rollout library: operators order that a service moves to
 * a new version of its targets. Until an order has ended, the new version gets
 * only a small share of the requests. The library keeps the orders, merges the
 * outcomes that all instances have seen, compares both versions, and decides
 * how the order ends. Pure: time and events are passed in.
 *
 * Each instance keeps to the share by its own requests alone, so that the sum
 * over all instances keeps to it too, whatever their number. Nothing is
 * elected: all instances decide from the same evidence, and the store keeps the
 * first decision that is written.
 */
#ifndef MC_ROLLOUT_H
#define MC_ROLLOUT_H

#include "mc/base.h"

enum {
	MC_ROLLOUT_NAME_SIZE = 64,
	/* Most orders, over all services, and versions that stay barred; the
	 * oldest of these are forgotten where orders need the room. */
	MC_ROLLOUTS_MAX = 256,
	/* Most rows of evidence that one instance tells the others. */
	MC_ROLLOUT_EVIDENCE_MAX = 64,
};

/** enum mc_rollout_state_t - state of an order as the store has it */
typedef enum mc_rollout_state_t {
	/* No state was written for the version of the order. */
	MC_ROLLOUT_NEW,
	MC_ROLLOUT_IN_PROGRESS,
	MC_ROLLOUT_SUCCEEDED,
	MC_ROLLOUT_ROLLED_BACK,
} mc_rollout_state_t;

/**
 * struct mc_rollout_order_t - an operators' order
 * @service: name of the service; it has one order at a time
 * @version: the version to which its requests are to move
 * @duration: time within which the order must end, ms
 * @revision: revision of the store at which the order has this content; a
 *	write of its state is conditional on it
 * @state: the stored state of this version
 */
typedef struct mc_rollout_order_t {
	char service[MC_ROLLOUT_NAME_SIZE];
	char version[MC_ROLLOUT_NAME_SIZE];
	mc_ms_t duration;
	uint64_t revision;
	mc_rollout_state_t state;
} mc_rollout_order_t;

/**
 * struct mc_rollout_counts_t - outcomes of the requests to one version
 * @answered: requests that targets answered, with the next two
 * @failed: answers that were failures
 * @slow: answers that took several times as long as usual on their route
 */
typedef struct mc_rollout_counts_t {
	uint32_t answered;
	uint32_t failed;
	uint32_t slow;
} mc_rollout_counts_t;

/**
 * struct mc_rollout_evidence_t - what an instance has seen of an order
 * @service: service of the order
 * @version: version of the order
 * @route: route of the requests; versions are compared on each route
 * @preferred: counted while the version was preferred, under the whole load
 * @order_revision: revision of the order as the instance knew it; 0 if unknown.
 *	The version may have had another order before
 * @elapsed: time since the order was read, ms
 * @rejected: the instance has found the version to be worse; never reset
 * @old: outcomes of all other versions since the order was read
 * @new: outcomes of the order's version
 */
typedef struct mc_rollout_evidence_t {
	char service[MC_ROLLOUT_NAME_SIZE];
	char version[MC_ROLLOUT_NAME_SIZE];
	char route[MC_ROLLOUT_NAME_SIZE];
	bool preferred;
	uint64_t order_revision;
	mc_ms_t elapsed;
	bool rejected;
	mc_rollout_counts_t old;
	mc_rollout_counts_t new;
} mc_rollout_evidence_t;

/** enum mc_rollout_mode_t - what the targets of a version may get */
typedef enum mc_rollout_mode_t {
	/* A small share of the service's requests. */
	MC_ROLLOUT_CANARY,
	/* All requests that they can take; other versions get the rest. */
	MC_ROLLOUT_PREFERRED,
	/* Nothing. */
	MC_ROLLOUT_BARRED,
} mc_rollout_mode_t;

/**
 * struct mc_rollout_rule_t - what a version of a service may get
 * @service: the service
 * @version: the version; others of the service have no rule
 * @mode: what the version may get
 */
typedef struct mc_rollout_rule_t {
	char service[MC_ROLLOUT_NAME_SIZE];
	char version[MC_ROLLOUT_NAME_SIZE];
	mc_rollout_mode_t mode;
} mc_rollout_rule_t;

/**
 * struct mc_rollout_capacity_t - registered targets of a service in an order
 * @is_known: the targets have been listed
 * @old_slots: slots of the targets of all other versions that are not barred
 * @new_slots: slots of the targets of the order's version
 */
typedef struct mc_rollout_capacity_t {
	bool is_known;
	uint32_t old_slots;
	uint32_t new_slots;
} mc_rollout_capacity_t;

typedef struct mc_rollouts_t mc_rollouts_t;

/**
 * mc_rollouts_create() - Create a set without orders
 * @self: name of this instance; copied
 * @share: share of a service's requests that an unproved version may get
 *
 * Return: the set, owned by the caller; NULL without memory.
 */
mc_rollouts_t *mc_rollouts_create(const char *self, double share);

/** mc_rollouts_destroy() - Free a set; NULL is allowed */
void mc_rollouts_destroy(mc_rollouts_t *rollouts);

/**
 * mc_rollouts_put_order() - Add or update an order as read from the store
 * @rollouts: the set
 * @order: the order; copied
 * @now: time, ms; a new order's time counts from it
 *
 * A version that was rolled back, or whose order was replaced before it was
 * proved, stays barred when the service gets a new order. An order that is
 * older than the known one of the service was read late and is ignored. An
 * order for the same version that has not ended is a new one if its duration
 * has changed, or if it has no state while its revision has changed: its time
 * counts from @now, and evidence of the former one is not used.
 *
 * Return: MC_OK; MC_ERR_FULL with a last message.
 */
mc_err_t mc_rollouts_put_order(mc_rollouts_t *rollouts,
			       const mc_rollout_order_t *order, mc_ms_t now);

/** mc_rollouts_remove_order() - Remove the order of a service, if there is one;
 * a version that was rolled back stays barred */
void mc_rollouts_remove_order(mc_rollouts_t *rollouts, const char *service);

/**
 * mc_rollouts_begin_era() - The store has come back with older orders
 * @rollouts: the set
 *
 * Revisions that are known can't be compared with those to come. An order that
 * the store has forgotten is kept for some time, as operators write it again;
 * if they don't, a version that was not proved stays barred. A final state that
 * it has forgotten is written again, and no other is decided. Own evidence is
 * told again.
 */
void mc_rollouts_begin_era(mc_rollouts_t *rollouts);

/** mc_rollouts_list_begin() - Begin a full list of orders */
void mc_rollouts_list_begin(mc_rollouts_t *rollouts);

/** mc_rollouts_list_end() - Remove the orders that were not listed */
void mc_rollouts_list_end(mc_rollouts_t *rollouts);

/** mc_rollouts_has_order() - Whether a version of a service has an order */
bool mc_rollouts_has_order(const mc_rollouts_t *rollouts, const char *service,
			   const char *version);

/** mc_rollouts_active() - Whether an order has not ended */
bool mc_rollouts_active(const mc_rollouts_t *rollouts);

/**
 * mc_rollouts_add_outcomes() - Add outcomes that this instance has seen
 * @rollouts: the set
 * @outcomes: outcomes since the last call; @order_revision, @elapsed and
 *	@rejected are ignored
 * @now: time, ms
 */
void mc_rollouts_add_outcomes(mc_rollouts_t *rollouts,
			      const mc_rollout_evidence_t *outcomes,
			      mc_ms_t now);

/**
 * mc_rollouts_set_evidence() - Replace what another instance has reported
 * @rollouts: the set
 * @origin: name of the instance; evidence of this instance's former start is
 *	taken over as long as it has none of its own
 * @evidence: its rows; copied
 * @count: number of @evidence
 * @now: time, ms
 */
void mc_rollouts_set_evidence(mc_rollouts_t *rollouts, const char *origin,
			      const mc_rollout_evidence_t *evidence,
			      uint32_t count, mc_ms_t now);

/**
 * mc_rollouts_get_evidence() - Get what this instance has to tell the others
 * @rollouts: the set
 * @evidence: receives the rows of orders that have not ended
 * @max: size of @evidence
 * @now: time, ms
 *
 * Return: number of rows.
 */
uint32_t mc_rollouts_get_evidence(const mc_rollouts_t *rollouts,
				  mc_rollout_evidence_t *evidence, uint32_t max,
				  mc_ms_t now);

/** mc_rollouts_evidence_changed() - Whether there is something to tell since
 * the last call of mc_rollouts_evidence_sent() */
bool mc_rollouts_evidence_changed(const mc_rollouts_t *rollouts, mc_ms_t now);

/** mc_rollouts_evidence_sent() - Note that the evidence was sent */
void mc_rollouts_evidence_sent(mc_rollouts_t *rollouts, mc_ms_t now);

/** mc_rollouts_evidence_failed() - Note that sending it has failed */
void mc_rollouts_evidence_failed(mc_rollouts_t *rollouts);

/** mc_rollout_capacity_fn_t - Returns the registered capacity of a service */
typedef mc_rollout_capacity_t (*mc_rollout_capacity_fn_t)(void *ctx,
							  const char *service,
							  const char *version);

/**
 * mc_rollouts_tick() - Judge all orders that have not ended
 * @rollouts: the set
 * @informed: the evidence of other instances is up to date; otherwise no
 *	version is found to be good
 * @capacity: returns the capacity of an order's service
 * @ctx: passed to @capacity
 * @now: time, ms
 *
 * Return: whether the rules have changed since the last call.
 */
bool mc_rollouts_tick(mc_rollouts_t *rollouts, bool informed,
		      mc_rollout_capacity_fn_t capacity, void *ctx,
		      mc_ms_t now);

/** mc_rollouts_deciding() - Whether an order is about to be decided, so that
 * instances should tell each other what they see without delay */
bool mc_rollouts_deciding(const mc_rollouts_t *rollouts, mc_ms_t now);

/**
 * mc_rollouts_next_due() - Get when an order is decided or written next
 *
 * Return: time, ms, after @now; MC_MS_NEVER if none is.
 */
mc_ms_t mc_rollouts_next_due(const mc_rollouts_t *rollouts, mc_ms_t now);

/**
 * mc_rollouts_get_rules() - Get the rules in force
 * @rollouts: the set
 * @rules: receives the rules
 * @max: size of @rules
 *
 * Return: number of rules.
 */
uint32_t mc_rollouts_get_rules(const mc_rollouts_t *rollouts,
			       mc_rollout_rule_t *rules, uint32_t max);

/**
 * mc_rollouts_next_write() - Get the next state to write to the store
 * @rollouts: the set
 * @delay: how long after it was decided a state is written here at first, ms;
 *	different at each instance, so that one of them writes
 * @now: time, ms
 * @order: receives the order with the state to write
 *
 * Each call returns a state at most once per retry interval, until the order is
 * read with a stored state.
 *
 * Return: whether there is one.
 */
bool mc_rollouts_next_write(mc_rollouts_t *rollouts, mc_ms_t delay, mc_ms_t now,
			    mc_rollout_order_t *order);

/**
 * mc_rollouts_get_reason() - Get the reason of the last decision on a service's
 * order, for operators
 *
 * Return: the reason, valid until the next call on @rollouts; "" without an
 * order or a decision.
 */
const char *mc_rollouts_get_reason(const mc_rollouts_t *rollouts,
				   const char *service);

/** enum mc_rollout_verdict_t - result of a comparison of two versions */
typedef enum mc_rollout_verdict_t {
	/* The new version is clearly worse. */
	MC_ROLLOUT_WORSE,
	/* Neither. */
	MC_ROLLOUT_UNPROVED,
	/* Enough requests show that it is about as good as the old one. */
	MC_ROLLOUT_GOOD,
} mc_rollout_verdict_t;

/**
 * mc_rollout_judge() - Compare two versions on one route
 * @old: outcomes of the old version
 * @new: outcomes of the new version
 * @share: share of the requests that the new version got
 *
 * Pure.
 */
mc_rollout_verdict_t mc_rollout_judge(const mc_rollout_counts_t *old,
				      const mc_rollout_counts_t *new,
				      double share);

/**
 * struct mc_rollout_credit_t - share of one sender's requests for a version
 * @credit: requests that the version may get now
 */
typedef struct mc_rollout_credit_t {
	double credit;
} mc_rollout_credit_t;

/**
 * mc_rollout_credit_start() - Start with a part of a request saved up
 * @credit: the credit
 * @part: random number in [0, 1), so that many senders with little traffic
 *	together keep to the share from the start
 */
void mc_rollout_credit_start(mc_rollout_credit_t *credit, double part);

/** mc_rollout_credit_allows() - Whether the version may get the next request */
bool mc_rollout_credit_allows(const mc_rollout_credit_t *credit);

/**
 * mc_rollout_credit_count() - Count a request to the service
 * @credit: the credit
 * @share: share of the requests that the version gets
 * @is_new: the request is sent to the version
 */
void mc_rollout_credit_count(mc_rollout_credit_t *credit, double share,
			     bool is_new);

/**
 * mc_rollout_canary_share() - Get the share of an unproved version's requests
 * that instances use
 * @allowed: the share that is allowed
 *
 * Below the share that is allowed: what is left is used at the end of an order,
 * when the new version gets all requests.
 */
double mc_rollout_canary_share(double allowed);

#endif
