/*
 * Decisions on a lease: when its record is read, taken over and renewed, and
 * until when the holder may act.
 */
#include "mc/lease.h"

#include <stdio.h>
#include <string.h>

enum {
	/* The holder renews after 1/n of the duration. */
	RENEWALS_PER_DURATION = 3,
	/* The holder stops 1/n of the duration before a renewal ends, and
	 * others wait as long after it. */
	MARGIN_DIVISOR = 8,
	/* A record is taken to be of a holder that is gone if it is older than
	 * 1/n of the duration. */
	AGE_DIVISOR = 2,
	/* A failed call is repeated after 1/n of the duration. */
	RETRY_DIVISOR = 6,
	/* Interval of the reads of all instances together, ms. */
	READ_INTERVAL_MS = 125,
	/* Position of the era in a token, bits. */
	ERA_SHIFT = 32,
};

static mc_ms_t margin(const mc_lease_t *lease)
{
	return lease->duration / MARGIN_DIVISOR;
}

/* How long others wait after they have first seen a renewal. */
static mc_ms_t wait_time(const mc_lease_t *lease)
{
	return lease->duration + margin(lease);
}

void mc_lease_init(mc_lease_t *lease, const char *holder, uint64_t incarnation,
		   mc_ms_t duration, mc_ms_t first_read)
{
	*lease = (mc_lease_t){
		.self = { .incarnation = incarnation },
		.duration = duration,
		.next_read = first_read,
	};
	snprintf(lease->self.holder, sizeof(lease->self.holder), "%s", holder);
	mc_lease_set_readers(lease, 1);
}

void mc_lease_set_readers(mc_lease_t *lease, uint32_t count)
{
	mc_ms_t interval = (mc_ms_t)count * READ_INTERVAL_MS;
	mc_ms_t least = lease->duration / 2;

	lease->read_interval = interval > least ? interval : least;
}

static bool is_own(const mc_lease_t *lease, const mc_lease_record_t *record)
{
	return record->revision && lease->token &&
	       record->token == lease->token &&
	       record->incarnation == lease->self.incarnation &&
	       !strcmp(record->holder, lease->self.holder);
}

static void end(mc_lease_t *lease, mc_lease_end_t reason)
{
	if (lease->is_held)
		lease->ended = reason;
	lease->is_held = false;
}

bool mc_lease_is_restored(const mc_lease_t *lease)
{
	if (!lease->is_known)
		return false;
	return lease->seen.revision ? lease->seen.era < lease->era
				    : lease->had_record;
}

static mc_lease_action_t decide_without(const mc_lease_t *lease, mc_ms_t now)
{
	bool own = is_own(lease, &lease->seen);

	if (lease->is_known && own && !mc_lease_is_restored(lease))
		return MC_LEASE_RENEW;
	/* Its own renewal was valid when the store came back: nobody else can
	 * have had the lease since. */
	if (lease->is_known && own && now < lease->held_until)
		return MC_LEASE_TAKE;
	if (now < lease->next_read)
		return MC_LEASE_WAIT;
	if (lease->is_known && !lease->is_uncertain &&
	    now >= lease->seen_at + wait_time(lease) &&
	    lease->called_at >= lease->seen_at + wait_time(lease))
		return MC_LEASE_TAKE;
	return MC_LEASE_READ;
}

mc_lease_action_t mc_lease_decide(mc_lease_t *lease, mc_ms_t now)
{
	if (lease->is_held && now >= lease->held_until)
		end(lease, MC_LEASE_EXPIRED);
	if (lease->is_calling)
		return MC_LEASE_WAIT;
	if (lease->is_held || is_own(lease, &lease->seen))
		if (now < lease->renew_at)
			return MC_LEASE_WAIT;
	if (lease->is_held)
		return MC_LEASE_RENEW;
	return decide_without(lease, now);
}

void mc_lease_begin_read(mc_lease_t *lease, mc_ms_t now)
{
	lease->is_calling = true;
	lease->called_at = now;
}

/* A token is larger than all that were seen, and than all of earlier eras. In
 * one era it grows with the revision of the store, also if a record with a
 * larger token was overwritten unseen. */
static uint64_t next_token(const mc_lease_t *lease)
{
	uint64_t token = (lease->era << ERA_SHIFT) + lease->store_revision;

	return token > lease->token_seen ? token : lease->token_seen + 1;
}

mc_lease_record_t mc_lease_begin_write(mc_lease_t *lease,
				       mc_lease_action_t action, mc_ms_t now,
				       mc_ms_t wall)
{
	mc_lease_record_t record = lease->self;

	record.token =
		action == MC_LEASE_TAKE ? next_token(lease) : lease->token;
	record.renewal = lease->seen.renewal + 1;
	record.era = lease->era;
	record.written_at = wall;
	record.revision = lease->seen.revision;
	lease->is_calling = true;
	lease->called_at = now;
	lease->writing = record;
	if (action == MC_LEASE_TAKE)
		lease->held_until = 0;
	lease->token = record.token;
	if (record.token > lease->token_seen)
		lease->token_seen = record.token;
	return record;
}

static void see_era(mc_lease_t *lease, uint64_t era)
{
	if (era <= lease->era)
		return;
	/* The first response only tells the era. */
	if (lease->is_known)
		end(lease, MC_LEASE_STORE_RESTORED);
	lease->era = era;
	lease->store_revision = 0;
}

static bool is_outdated(const mc_lease_t *lease, const mc_lease_reply_t *reply)
{
	return reply->era < lease->era ||
	       (lease->is_known &&
		reply->store_revision < lease->store_revision &&
		reply->record.revision < lease->seen.revision);
}

static bool is_same_renewal(const mc_lease_record_t *a,
			    const mc_lease_record_t *b)
{
	return a->revision == b->revision && a->token == b->token &&
	       a->renewal == b->renewal;
}

/* Takes over a record that was read, or that a conflict has shown. */
static bool see(mc_lease_t *lease, const mc_lease_reply_t *reply, mc_ms_t now)
{
	see_era(lease, reply->era);
	if (is_outdated(lease, reply))
		return false;
	if (!lease->is_known ||
	    !is_same_renewal(&lease->seen, &reply->record)) {
		lease->seen_at = now;
		lease->seen = reply->record;
	}
	lease->is_known = true;
	lease->is_uncertain = false;
	if (reply->store_revision > lease->store_revision)
		lease->store_revision = reply->store_revision;
	if (reply->record.token > lease->token_seen)
		lease->token_seen = reply->record.token;
	lease->had_record = lease->had_record || reply->record.revision;
	if (!is_own(lease, &lease->seen))
		end(lease, MC_LEASE_REPLACED);
	return true;
}

static mc_ms_t retry_interval(const mc_lease_t *lease)
{
	return lease->duration / RETRY_DIVISOR;
}

/* A record that looks as if its holder were gone is read again as soon as it
 * may be taken over. */
static void schedule_read(mc_lease_t *lease, mc_ms_t now, mc_ms_t wall)
{
	mc_ms_t age = wall - lease->seen.written_at;
	mc_ms_t takeover = lease->seen_at + wait_time(lease);

	lease->next_read = now + lease->read_interval;
	if (lease->seen.revision && age <= lease->duration / AGE_DIVISOR)
		return;
	if (takeover <= now)
		lease->next_read = now;
	else if (takeover < lease->next_read)
		lease->next_read = takeover;
}

bool mc_lease_read_done(mc_lease_t *lease, const mc_lease_reply_t *reply,
			mc_ms_t now, mc_ms_t wall)
{
	bool taken;

	lease->is_calling = false;
	if (!reply) {
		lease->next_read = now + lease->read_interval;
		return false;
	}
	taken = see(lease, reply, now);
	schedule_read(lease, now, wall);
	return taken;
}

static bool accept_write(mc_lease_t *lease, const mc_lease_reply_t *reply,
			 mc_ms_t now)
{
	bool same_era = reply->era <= lease->writing.era;

	see_era(lease, reply->era);
	lease->seen = lease->writing;
	lease->seen.revision = reply->record.revision;
	lease->seen_at = now;
	lease->is_known = true;
	lease->is_uncertain = false;
	lease->had_record = true;
	if (reply->record.revision > lease->store_revision)
		lease->store_revision = reply->record.revision;
	if (!same_era)
		return false;
	lease->is_held = true;
	lease->held_until = lease->called_at + lease->duration - margin(lease);
	lease->renew_at =
		lease->called_at + lease->duration / RENEWALS_PER_DURATION;
	return mc_lease_is_held(lease, now);
}

bool mc_lease_write_done(mc_lease_t *lease, mc_err_t err,
			 const mc_lease_reply_t *reply, mc_ms_t now)
{
	lease->is_calling = false;
	if (!err && reply)
		return accept_write(lease, reply, now);
	lease->next_read = now + retry_interval(lease);
	lease->renew_at = lease->next_read;
	lease->is_uncertain = true;
	if (!reply || (err != MC_ERR_CONFLICT && err != MC_ERR_NOT_FOUND))
		return false;
	see(lease, reply, now);
	if (is_own(lease, &lease->seen))
		lease->renew_at = now;
	else
		lease->next_read = now + lease->read_interval;
	return false;
}

bool mc_lease_is_held(const mc_lease_t *lease, mc_ms_t now)
{
	return lease->is_held && now < lease->held_until;
}

mc_ms_t mc_lease_time_left(const mc_lease_t *lease, mc_ms_t now)
{
	return mc_lease_is_held(lease, now) ? lease->held_until - now : 0;
}

mc_lease_end_t mc_lease_take_end(mc_lease_t *lease)
{
	mc_lease_end_t ended = lease->ended;

	lease->ended = MC_LEASE_NOT_ENDED;
	return ended;
}
