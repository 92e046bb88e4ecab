/*
 * Public header of the lease library: which instance has a duty that only one
 * may have at a time. The lease is a record in a store that writes it only if
 * the record still has the revision that the writer has read. The holder renews
 * it; another instance takes it over after it has seen the same renewal for the
 * whole duration. Pure: times are those of a clock that counts suspensions.
 *
 * A store may come back with less than it had acknowledged. It then says a
 * higher era in all its responses, and its revisions have gone back. Tokens
 * begin with the era, so that those of a later era are larger.
 */
#ifndef MC_LEASE_H
#define MC_LEASE_H

#include "mc/base.h"

enum {
	MC_LEASE_HOLDER_SIZE = 64,
};

/**
 * struct mc_lease_record_t - The record of a lease in the store
 * @holder: name of the instance that holds it
 * @incarnation: random number of the holder's process
 * @token: fencing token; larger for each next holder
 * @renewal: number of the renewal
 * @era: era of the store when it was written
 * @written_at: wall time of the holder at the renewal, ms; a hint only
 * @revision: revision of the record in the store; 0 if there is no record
 */
typedef struct mc_lease_record_t {
	char holder[MC_LEASE_HOLDER_SIZE];
	uint64_t incarnation;
	uint64_t token;
	uint64_t renewal;
	uint64_t era;
	mc_ms_t written_at;
	uint64_t revision;
} mc_lease_record_t;

/**
 * struct mc_lease_reply_t - What the store has said of the record
 * @record: the record; its revision is 0 if there is none
 * @store_revision: revision of the store, or of the record if that is unknown
 * @era: era of the store; 0 if unknown
 */
typedef struct mc_lease_reply_t {
	mc_lease_record_t record;
	uint64_t store_revision;
	uint64_t era;
} mc_lease_reply_t;

/** enum mc_lease_action_t - What to do next */
typedef enum mc_lease_action_t {
	MC_LEASE_WAIT,
	/* Read the record, which may be stale. */
	MC_LEASE_READ,
	/* Take the lease: write the record with another token. */
	MC_LEASE_TAKE,
	/* Write the record again with the same token. */
	MC_LEASE_RENEW,
} mc_lease_action_t;

/** enum mc_lease_end_t - Why a lease was lost */
typedef enum mc_lease_end_t {
	MC_LEASE_NOT_ENDED,
	/* It was not renewed in time. */
	MC_LEASE_EXPIRED,
	/* Another instance has it. */
	MC_LEASE_REPLACED,
	/* The store came back with less than it had. */
	MC_LEASE_STORE_RESTORED,
} mc_lease_end_t;

/**
 * struct mc_lease_t - The lease as one instance knows it
 * @self: name and process of this instance, in a record
 * @duration: how long a renewal is valid, ms
 * @read_interval: interval at which an instance without the lease reads, ms
 * @is_known: @seen was read or written
 * @is_uncertain: the outcome of a write after @seen is unknown
 * @seen: the record as last seen
 * @had_record: a record was seen or written
 * @store_revision: highest revision of the store that was seen in @era
 * @seen_at: when this renewal was first seen, ms
 * @era: highest era that was seen
 * @token_seen: largest token that was seen
 * @next_read: when the record is read again, ms
 * @is_held: this instance holds the lease, if @held_until is not over
 * @token: token of this instance's last tenure; 0 before
 * @held_until: end of the last renewal, less a margin, ms
 * @renew_at: when it is renewed, ms
 * @is_calling: a call for the record is open
 * @called_at: when it began, ms
 * @writing: the record that it writes
 * @ended: why the lease was lost, until mc_lease_take_end()
 */
typedef struct mc_lease_t {
	mc_lease_record_t self;
	mc_ms_t duration;
	mc_ms_t read_interval;
	bool is_known;
	bool is_uncertain;
	mc_lease_record_t seen;
	bool had_record;
	uint64_t store_revision;
	mc_ms_t seen_at;
	uint64_t era;
	uint64_t token_seen;
	mc_ms_t next_read;
	bool is_held;
	uint64_t token;
	mc_ms_t held_until;
	mc_ms_t renew_at;
	bool is_calling;
	mc_ms_t called_at;
	mc_lease_record_t writing;
	mc_lease_end_t ended;
} mc_lease_t;

/**
 * mc_lease_init() - Begin without the lease
 * @lease: the lease
 * @holder: name of this instance
 * @incarnation: random number of this process
 * @duration: how long a renewal is valid, ms
 * @first_read: when the record is read first, ms
 */
void mc_lease_init(mc_lease_t *lease, const char *holder, uint64_t incarnation,
		   mc_ms_t duration, mc_ms_t first_read);

/**
 * mc_lease_set_readers() - Set how many instances read the record
 *
 * The more there are, the less often each of them reads.
 */
void mc_lease_set_readers(mc_lease_t *lease, uint32_t count);

/** mc_lease_decide() - Get the next action; also notices the end of a lease */
mc_lease_action_t mc_lease_decide(mc_lease_t *lease, mc_ms_t now);

/** mc_lease_begin_read() - Record that a read was sent */
void mc_lease_begin_read(mc_lease_t *lease, mc_ms_t now);

/**
 * mc_lease_begin_write() - Get the record to write
 * @lease: the lease
 * @action: MC_LEASE_TAKE or MC_LEASE_RENEW
 * @now: current time, ms
 * @wall: wall time, ms
 *
 * Return: the record. Its revision is that which the record in the store must
 * still have; 0 if there must be none.
 */
mc_lease_record_t mc_lease_begin_write(mc_lease_t *lease,
				       mc_lease_action_t action, mc_ms_t now,
				       mc_ms_t wall);

/**
 * mc_lease_read_done() - Handle the response to a read
 * @lease: the lease
 * @reply: what the store said; NULL if the call has failed
 * @now: current time, ms
 * @wall: wall time, ms
 *
 * Return: the record was taken over as the last one seen, rather than passed
 * over as older than what is known.
 */
bool mc_lease_read_done(mc_lease_t *lease, const mc_lease_reply_t *reply,
			mc_ms_t now, mc_ms_t wall);

/**
 * mc_lease_write_done() - Handle the response to a write
 * @lease: the lease
 * @err: MC_OK; MC_ERR_CONFLICT: the record has another revision, and is in
 *	@reply; MC_ERR_NOT_FOUND: there is none; else the outcome is unknown
 * @reply: what the store said; NULL if the call has failed
 * @now: current time, ms
 *
 * Return: the record was written and the lease is held.
 */
bool mc_lease_write_done(mc_lease_t *lease, mc_err_t err,
			 const mc_lease_reply_t *reply, mc_ms_t now);

/** mc_lease_is_held() - Tell whether this instance may act at @now */
bool mc_lease_is_held(const mc_lease_t *lease, mc_ms_t now);

/** mc_lease_time_left() - Get how long it may act; 0 without the lease, ms */
mc_ms_t mc_lease_time_left(const mc_lease_t *lease, mc_ms_t now);

/** mc_lease_is_restored() - Tell whether the record is from an earlier era, or
 * gone, so that what was written after it is lost */
bool mc_lease_is_restored(const mc_lease_t *lease);

/** mc_lease_take_end() - Get why the lease was lost since the last call */
mc_lease_end_t mc_lease_take_end(mc_lease_t *lease);

#endif
