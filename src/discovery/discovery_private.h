/*
 * State of a discovery, shared by the files of this library.
 *
 * Log lines of this library carry the part "follow", which operators filter by.
 */
#ifndef MC_DISCOVERY_PRIVATE_H
#define MC_DISCOVERY_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "mc/discovery.h"
#include "mc/readplan.h"
#include "mc/relay.h"

enum {
	/* Longest back-off before a failed call is retried, ms. */
	DISCOVERY_BACKOFF_MAX_MS = 1000,
};

/**
 * struct kind_sync_t - How far one kind of records has been read
 * @discovery: the discovery that it belongs to
 * @kind: the kind
 * @in_flight: a list or watch call is open
 * @call: the open call, or the last one
 * @called_at: when it was begun, ms
 * @state: how far the records are known, and which are known to be missing
 * @listed_once: a list has been complete at least once
 * @relisting_since: when a list of records that were known before was begun,
 *	ms; MC_MS_NEVER while none is needed
 * @list_revision: revision of the list's first page
 * @list_after: name after which the next page of the list begins
 * @complete_at: all changes that the store has acknowledged before this time
 *	are known, ms; 0 if there is no such time
 * @checked_revision: revision of the store up to which a check of the watch has
 *	shown that nothing is missing
 * @missing_since: since when changes are missing that the upstream has, ms;
 *	MC_MS_NEVER while none is
 * @poll_in_flight: a call that does not wait is open beside the watch
 * @poll_may_be_stale: its response may be stale
 * @poll_since: revision after which it asks for changes
 * @poll_begun_at: when it was begun, ms
 * @poll_relist_after: a poll has the kind listed again only after this time, ms
 * @is_void: the result of the open call is of no use
 * @begins_era: no list was complete since the store came back older
 * @parked: its call failed because the store was unavailable; it resumes when
 *	the store is available again
 * @failures: number of calls that failed in a row
 * @long_watches: number of watches in a row whose changes were more than a
 *	response may have
 * @timer: starts the next call
 * @late_timer: ends an open watch that is late
 */
typedef struct kind_sync_t {
	struct mc_discovery_t *discovery;
	mc_source_kind_t kind;
	bool in_flight;
	mc_read_call_t call;
	mc_ms_t called_at;
	mc_read_state_t state;
	bool listed_once;
	mc_ms_t relisting_since;
	uint64_t list_revision;
	char list_after[MC_REGISTRY_NAME_SIZE * 2];
	mc_ms_t complete_at;
	uint64_t checked_revision;
	mc_ms_t missing_since;
	bool poll_in_flight;
	bool poll_may_be_stale;
	uint64_t poll_since;
	mc_ms_t poll_begun_at;
	mc_ms_t poll_relist_after;
	bool is_void;
	bool begins_era;
	bool parked;
	uint32_t failures;
	uint32_t long_watches;
	mc_handle_t timer;
	mc_handle_t late_timer;
} kind_sync_t;

struct mc_discovery_t {
	mc_discovery_params_t params;
	/* Client of the store. */
	mc_source_t *source;
	mc_registry_t *registry;
	kind_sync_t syncs[MC_SOURCE_KIND_COUNT];
	apr_pool_t *pool;
	/* Instances by name; keys and values are copies owned by the table. */
	apr_hash_t *instances;
	/* Relay of changes within this data centre, or NULL. */
	mc_relay_t *relay;
	/* Until then an upstream may be found that makes it needless to read
	 * the store, ms. */
	mc_ms_t expect_until;
	mc_handle_t expect_timer;
	/* The instances that start together are known. */
	bool peers_settled;
	/* Revision of the store after this instance has started; 0 until it is
	 * known. Lists that are older are not used. */
	uint64_t start_revision;
	/* The start was in a former era of the store, so that nothing that is
	 * read now is from before it. */
	bool start_passed;
	/* Era of the store; 0 while unknown. */
	uint64_t era;
	mc_handle_t instances_timer;
	/* The list of instances has the own record. */
	bool own_listed;
	/* Highest revision of the store at which targets were read. */
	uint64_t targets_revision;
	/* Highest revision that the store has told. */
	uint64_t store_revision;
	/* All changes that the store acknowledged before this time, ms, have
	 * this revision at most. */
	mc_ms_t current_at;
	uint64_t current_revision;
	mc_handle_t probe_timer;
	mc_handle_t check_timer;
	/* A subscriber waits for a response of the store. */
	bool state_due;
	/* When the store last answered a call, ms. */
	mc_ms_t last_response;
	bool store_unavailable;
	/* Since when, ms; valid while it is. */
	mc_ms_t unavailable_since;
	/* When this instance has reached the store again after an outage, ms; 0
	 * for never. */
	mc_ms_t reached_again_at;
	/* A single call shows whether the store responds, before others are
	 * made. */
	bool is_probing;
	bool publish_pending;
	mc_handle_t publish_timer;
	uint32_t register_failures;
	/* The next registration replaces the record of a former instance. */
	bool register_replaces;
	bool registered;
	mc_rollouts_t *rollouts;
	mc_handle_t rollout_timer;
	bool evidence_in_flight;
	mc_ms_t evidence_sent_at;
};

/**
 * discovery_apply_records() - Apply records of a kind to the registry
 * @discovery: the discovery
 * @kind: kind of the records
 * @result: result of a list or watch with the records
 * @known_until: revision up to which all changes have been applied; 0 for a
 *	list
 * @at: time from which grace periods count, ms; earlier than now where the
 *	records may have been missed for some time
 */
void discovery_apply_records(mc_discovery_t *discovery, mc_source_kind_t kind,
			     const mc_source_result_t *result,
			     uint64_t known_until, mc_ms_t at);

/** discovery_kind_name() - Name of a kind in log lines */
const char *discovery_kind_name(mc_source_kind_t kind);

/** discovery_list_begin() - Prepare the registry for a kind's full list */
void discovery_list_begin(mc_discovery_t *discovery, mc_source_kind_t kind);

/** discovery_list_end() - Start the removal of targets that were not listed up
 * to @revision of the store; their grace periods count from @at, ms */
void discovery_list_end(mc_discovery_t *discovery, mc_source_kind_t kind,
			uint64_t revision, mc_ms_t at);

/** discovery_change_max() - Time within which changes must be applied, ms */
mc_ms_t discovery_change_max(const mc_discovery_t *discovery);

/** discovery_batch_delay() - Pause before the next watch of a kind, so that
 * changes within it are read together, ms */
mc_ms_t discovery_batch_delay(const kind_sync_t *sync);

/** discovery_begin_relist() - Give up what is known to be complete of a kind,
 * which is then listed */
void discovery_begin_relist(kind_sync_t *sync);

/** results_handle() - Apply the result of a list or watch that has not failed;
 * returns the pause before the kind's next call, ms */
mc_ms_t results_handle(kind_sync_t *sync, const mc_source_result_t *result);

/** discovery_backoff() - Get the wait after @failures failures in a row, ms */
mc_ms_t discovery_backoff(mc_discovery_t *discovery, uint32_t failures);

/** discovery_register() - Write this instance's record; a timer's handler */
void discovery_register(mc_shard_t *shard, void *arg);

/** discovery_continue_sync() - Make the next call for a kind, if one is needed;
 * a timer's handler */
void discovery_continue_sync(mc_shard_t *shard, void *arg);

/** discovery_is_watch() - Whether the open call of a kind, or the last one,
 * reads changes */
bool discovery_is_watch(const kind_sync_t *sync);

/** discovery_cancel_watch() - End a kind's call if it is a watch that waits;
 * returns whether it was */
bool discovery_cancel_watch(kind_sync_t *sync);

/** discovery_restart_watches() - Begin all open watches anew */
void discovery_restart_watches(mc_discovery_t *discovery);

/** discovery_expect_upstream() - Don't watch the store for some time, in which
 * an upstream may be found */
void discovery_expect_upstream(mc_discovery_t *discovery);

/** discovery_resume_sync() - Continue reading a kind, if it needs to be read */
void discovery_resume_sync(kind_sync_t *sync);

/** discovery_resume_all() - Continue reading all kinds that need to be read */
void discovery_resume_all(mc_discovery_t *discovery);

/** discovery_probe_first() - Continue reading all kinds once a single call has
 * shown that the store responds */
void discovery_probe_first(mc_discovery_t *discovery);

/** discovery_relay_state() - Whether an upstream relays changes, or may soon */
mc_read_relay_t discovery_relay_state(const mc_discovery_t *discovery);

/** discovery_predates_start() - Whether a kind's records are from before this
 * instance's start and may thus not be used: the route map, the targets and the
 * data centres that are out of service */
bool discovery_predates_start(const kind_sync_t *sync);

/** discovery_is_following() - Whether changes after the known revision can be
 * applied to a kind's records */
bool discovery_is_following(const kind_sync_t *sync);

/** discovery_log_invalid() - Count and log a record that can't be used */
void discovery_log_invalid(mc_discovery_t *discovery, const char *kind,
			   const mc_source_record_t *record);

/** discovery_count_call() - Count a call to the store, and its cause */
void discovery_count_call(const mc_discovery_t *discovery,
			  mc_counter_id_t cause);

/** discovery_apply_changes() - Apply changes from the store or the upstream */
void discovery_apply_changes(kind_sync_t *sync,
			     const mc_source_result_t *result);

/** discovery_apply_list() - Apply a complete list that the upstream has relayed
 */
void discovery_apply_list(kind_sync_t *sync, const mc_source_result_t *result);

/** discovery_note_store_result() - Track from a call whether the store works */
void discovery_note_store_result(mc_discovery_t *discovery, mc_err_t err);

/** discovery_set_timer() - Set a timer to fire in @delay ms, or reset it */
void discovery_set_timer(mc_discovery_t *discovery, mc_ms_t delay,
			 mc_timer_fn_t fire, void *arg, mc_handle_t *timer);

/** discovery_make_registration() - Fill in this instance's registration
 * @discovery: the discovery
 * @evidence: memory for MC_ROLLOUT_EVIDENCE_MAX rows, to which it points
 */
mc_source_instance_t discovery_make_registration(
	const mc_discovery_t *discovery, mc_rollout_evidence_t *evidence);

/** discovery_relist() - List a kind again, whose watch is given up; a list that
 * is older than the revision @needed is not used */
void discovery_relist(kind_sync_t *sync, uint64_t needed);

/** discovery_check_registration() - Register this instance again if the list of
 * instances lacks its record, or has a former one; to be called when that list
 * is complete */
void discovery_check_registration(mc_discovery_t *discovery);

/* era.c: eras of the store */

/**
 * era_accept() - Note the era of a response
 * @discovery: the discovery
 * @era: the era that it tells; 0 for none
 *
 * Return: whether the response may be used. Else it is of a former era, or
 * shows that a new one has begun, in which all kinds are listed anew.
 */
bool era_accept(mc_discovery_t *discovery, uint64_t era);

/** era_end_list() - Handle that a kind's first list of an era is complete, if
 * it is the first one */
void era_end_list(kind_sync_t *sync);

/** era_is_former() - Whether a response is of a former era, so that what it
 * says was written may be gone */
bool era_is_former(const mc_discovery_t *discovery, uint64_t era);

/* rollouts.c: roll-outs of new versions */

/** rollouts_apply_order() - Apply the record of an order */
void rollouts_apply_order(mc_discovery_t *discovery,
			  const mc_source_record_t *record, mc_ms_t at);

/** rollouts_update() - Judge the roll-outs in progress, and write what is due;
 * goes on by itself until none is in progress */
void rollouts_update(mc_discovery_t *discovery);

/** rollouts_confirm_versions() - Read the orders again if a target has a
 * version that is new to its service */
void rollouts_confirm_versions(mc_discovery_t *discovery);

/* evidence.c: reports on targets between the instances */

/** discovery_on_evidence() - Handler of mc_relay_ops_t */
void discovery_on_evidence(void *ctx, const mc_wire_evidence_t *items,
			   uint32_t count);

/* peers.c: relay of changes between the instances of a data centre */

/**
 * peers_create() - Create the relay, if there is an address for it
 *
 * Return: MC_OK, also without an address; MC_ERR_IO with a last message.
 */
mc_err_t peers_create(mc_discovery_t *discovery);

/** peers_destroy() - Stop the relay */
void peers_destroy(mc_discovery_t *discovery);

/** peers_update() - Pass the data centre's known instances to the relay */
void peers_update(mc_discovery_t *discovery);

/** peers_send_changes() - Relay changes after a revision, or a list with
 * MC_RELAY_LIST, to this instance's subscribers; of maps that may hold keys of
 * customers only the revision */
void peers_send_changes(const kind_sync_t *sync, uint64_t since,
			const mc_source_result_t *result);

/** peers_has_upstream() - Whether an upstream relays the store's changes */
bool peers_has_upstream(const mc_discovery_t *discovery);

/** peers_set_era() - Tell the subscribers that the era of the store is known */
void peers_set_era(mc_discovery_t *discovery);

/** peers_send_state() - Send this instance's state to those who wait for it */
void peers_send_state(mc_discovery_t *discovery);

/* probe.c: probes of the store beside the open watches */

/** probe_note_watch() - Probe the store beside the watch of the route map,
 * which has begun */
void probe_note_watch(mc_discovery_t *discovery);

/** probe_request() - Probe the store soon, or @at_once, for subscribers */
void probe_request(mc_discovery_t *discovery, bool at_once);

/** probe_poll() - Read a kind's changes beside its watch by a call that does
 * not wait, and with @allow_stale may be stale */
void probe_poll(kind_sync_t *sync, bool allow_stale);

/* completeness.c: up to when the records are known to be complete */

/**
 * completeness_note_response() - Note what a current response of the store
 * proves
 * @discovery: the discovery, to which the response's records were applied
 * @revision: revision of the store that it tells; 0 for none
 * @begun_at: a time before the store answered, ms
 *
 * Kinds that lack nothing up to the revision are complete up to @begun_at. The
 * open watches of the others are checked soon.
 */
void completeness_note_response(mc_discovery_t *discovery, uint64_t revision,
				mc_ms_t begun_at);

/** completeness_note_revision() - Note the revision of a response that may be
 * stale: the open watches of kinds that are behind it are checked soon */
void completeness_note_revision(mc_discovery_t *discovery, uint64_t revision);

/** completeness_note_check() - Note that a kind's poll has shown no change up
 * to a revision of the store */
void completeness_note_check(kind_sync_t *sync, uint64_t revision);

/** completeness_extend() - Note that a kind is complete up to a time, ms */
void completeness_extend(kind_sync_t *sync, mc_ms_t at);

/** completeness_begin_era() - Forget what is known of a kind's revisions; what
 * it lacks counts from now, as the store is back only now */
void completeness_begin_era(kind_sync_t *sync);

/** completeness_known_until() - Revision of the store up to which a kind lacks
 * no change */
uint64_t completeness_known_until(const kind_sync_t *sync);

/**
 * completeness_changed_since() - Time from which grace periods count for
 * changes of a kind that are read now
 * @sync: the kind
 *
 * A target serves for @drain_period after the store has acknowledged that it
 * leaves, which may have been any time since the kind was last complete: what
 * the grace period leaves of @drain_period is spent first. An instance that had
 * no access to the store itself counts from when it has reached it again.
 *
 * Return: ms; 0 for changes from before the start.
 */
mc_ms_t completeness_changed_since(const kind_sync_t *sync);

/** discovery_schedule_publish() - Publish a view at the end of the turn */
void discovery_schedule_publish(mc_discovery_t *discovery);

#endif
