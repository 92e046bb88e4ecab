/*
 * Decides how an instance reads the next changes of one kind of records from
 * the store: by a watch, by a list that is current, by a list that may be stale
 * and costs the store little, or not at all while another instance relays the
 * changes. Pure.
 */
#ifndef MC_READPLAN_H
#define MC_READPLAN_H

#include "mc/base.h"

/* Value of @needed in mc_read_state_t: only a list that is current will do. */
#define MC_READ_CURRENT UINT64_MAX

/** enum mc_read_call_t - The next call for a kind */
typedef enum mc_read_call_t {
	/* None: changes are relayed, or soon will be. */
	MC_READ_NONE,
	/* A list that may be seconds old, and is checked by its revision. */
	MC_READ_STALE_LIST,
	MC_READ_LIST,
	MC_READ_WATCH,
	/* A watch that does not wait, and is current. */
	MC_READ_CHANGES,
} mc_read_call_t;

/**
 * struct mc_read_state_t - What is known of a kind
 * @is_listed: a complete list was applied, from which changes can be followed
 * @revision: revision of the store up to which the records are known
 * @needed: revision up to which they must become known before they are used, or
 *	MC_READ_CURRENT; 0 if there is none
 * @stale_lists: lists in a row that were older than needed
 * @watch_is_late: the last watch was not answered in time and was given up
 */
typedef struct mc_read_state_t {
	bool is_listed;
	uint64_t revision;
	uint64_t needed;
	uint32_t stale_lists;
	bool watch_is_late;
} mc_read_state_t;

/** enum mc_read_relay_t - Whether another instance relays the changes */
typedef enum mc_read_relay_t {
	MC_READ_NO_UPSTREAM,
	/* An upstream may be found soon. */
	MC_READ_UPSTREAM_EXPECTED,
	MC_READ_HAS_UPSTREAM,
} mc_read_relay_t;

/** mc_read_is_behind() - Whether records are missing that are known to exist */
bool mc_read_is_behind(const mc_read_state_t *state);

/** mc_read_next_call() - Decide on the next call for a kind */
mc_read_call_t mc_read_next_call(const mc_read_state_t *state,
				 mc_read_relay_t relay);

/**
 * mc_read_stale_pause() - Pause after a stale list that was older than needed
 * @state: what is known
 * @bound: time within which changes must be known, ms; all pauses together take
 *	little more than half of it
 *
 * Return: ms.
 */
mc_ms_t mc_read_stale_pause(const mc_read_state_t *state, mc_ms_t bound);

/**
 * mc_read_start_pause() - Pause after a stale list that was older than needed,
 *	while this instance has no list from after its start
 * @state: what is known
 * @bound: time within which changes must be known, ms
 *
 * Until then the instance refuses all requests, however long the bound for
 * changes is: all pauses together take less than 1 s.
 *
 * Return: ms; no longer than mc_read_stale_pause() is.
 */
mc_ms_t mc_read_start_pause(const mc_read_state_t *state, mc_ms_t bound);

/**
 * mc_read_watch_wait() - How long a watch waits whose changes must be known
 *	within a time
 * @bound: that time, ms
 *
 * Return: ms.
 */
mc_ms_t mc_read_watch_wait(mc_ms_t bound);

/**
 * mc_read_watch_late_after() - Time after which such a watch is late
 * @bound: as for mc_read_watch_wait()
 *
 * A store that is merely quiet has answered it before. The changes are then
 * read at once, for which two fifths of @bound are left, and of a bound below
 * 3500 ms three tenths.
 *
 * Return: ms since the watch was begun.
 */
mc_ms_t mc_read_watch_late_after(mc_ms_t bound);

/**
 * mc_read_watches_hang() - Whether a late watch will never be answered, and
 *	neither may others that were open then
 * @bound: as for mc_read_watch_wait()
 * @took: how long the store took to answer the call that followed, ms
 *
 * Return: false if the store answers all calls that slowly.
 */
bool mc_read_watches_hang(mc_ms_t bound, mc_ms_t took);

/**
 * mc_read_accepts_list() - Whether a list may be applied
 * @state: what is known
 * @revision: the store's revision at which the list was complete
 * @is_stale: the list may be stale; else it is accepted
 *
 * A list that is older than what is known would bring back former states.
 */
bool mc_read_accepts_list(const mc_read_state_t *state, uint64_t revision,
			  bool is_stale);

#endif
