/*
 * Watched descriptors, polled with APR's pollset. Events refer to records by
 * handle, so that an event of a descriptor that was removed earlier in the same
 * turn is ignored.
 */
#include "net_private.h"

#include <apr_portable.h>
#include <string.h>

enum {
	US_PER_MS = 1000,
	POLL_WAIT_MAX_MS = 60000,
};

typedef struct {
	int fd;
	mc_watch_fn_t ready;
	void *arg;
	apr_pollfd_t descriptor;
} watch_record_t;

mc_err_t watches_init(watches_t *watches)
{
	apr_status_t status;

	if (apr_pool_create(&watches->pool, NULL))
		return MC_ERR_NO_MEMORY;
	watches->table =
		mc_table_create(sizeof(watch_record_t), NET_WATCHES_MAX);
	if (!watches->table)
		return MC_ERR_NO_MEMORY;
	status = apr_pollset_create(&watches->pollset, NET_WATCHES_MAX / 16,
				    watches->pool,
				    APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY);
	if (status)
		return mc_fail(MC_ERR_INTERNAL,
			       "pollset not created: APR error %d", status);
	return MC_OK;
}

void watches_destroy(watches_t *watches)
{
	if (watches->pollset)
		apr_pollset_destroy(watches->pollset);
	mc_table_destroy(watches->table);
	if (watches->pool)
		apr_pool_destroy(watches->pool);
}

static apr_int16_t poll_events(int events)
{
	apr_int16_t mask = 0;

	if (events & MC_WATCH_READ)
		mask |= APR_POLLIN;
	if (events & MC_WATCH_WRITE)
		mask |= APR_POLLOUT;
	return mask;
}

static int watch_events(apr_int16_t mask)
{
	int events = 0;

	if (mask & APR_POLLIN)
		events |= MC_WATCH_READ;
	if (mask & APR_POLLOUT)
		events |= MC_WATCH_WRITE;
	if (mask & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL))
		events |= MC_WATCH_ERROR;
	return events;
}

mc_err_t mc_watch_add(mc_shard_t *shard, int fd, int events,
		      mc_watch_fn_t ready, void *arg, mc_handle_t *watch)
{
	watches_t *watches = &shard->watches;
	watch_record_t *record;
	void *slot;
	uint64_t packed;
	mc_err_t err = mc_table_add(watches->table, watch, &slot);

	if (err)
		return err;
	record = slot;
	packed = mc_handle_pack(*watch);
	record->fd = fd;
	record->ready = ready;
	record->arg = arg;
	apr_os_sock_put(&watches->sockets[watch->index], &record->fd,
			watches->pool);
	record->descriptor = (apr_pollfd_t){
		.p = watches->pool,
		.desc_type = APR_POLL_SOCKET,
		.desc.s = watches->sockets[watch->index],
		.reqevents = poll_events(events),
	};
	memcpy(&record->descriptor.client_data, &packed, sizeof(packed));
	if (!apr_pollset_add(watches->pollset, &record->descriptor))
		return MC_OK;
	mc_table_remove(watches->table, *watch);
	return mc_fail(MC_ERR_IO, "descriptor %d not added to the pollset", fd);
}

mc_err_t mc_watch_change(mc_shard_t *shard, mc_handle_t watch, int events)
{
	watches_t *watches = &shard->watches;
	watch_record_t *record = mc_table_get(watches->table, watch);

	if (!record)
		return mc_fail(MC_ERR_STALE_HANDLE,
			       "descriptor is no longer watched");
	if (record->descriptor.reqevents == poll_events(events))
		return MC_OK;
	apr_pollset_remove(watches->pollset, &record->descriptor);
	record->descriptor.reqevents = poll_events(events);
	if (apr_pollset_add(watches->pollset, &record->descriptor))
		return mc_fail(MC_ERR_IO,
			       "descriptor %d not added to the pollset",
			       record->fd);
	return MC_OK;
}

void mc_watch_remove(mc_shard_t *shard, mc_handle_t watch)
{
	watches_t *watches = &shard->watches;
	watch_record_t *record = mc_table_get(watches->table, watch);

	if (!record)
		return;
	apr_pollset_remove(watches->pollset, &record->descriptor);
	mc_table_remove(watches->table, watch);
}

static void dispatch_event(mc_shard_t *shard, const apr_pollfd_t *descriptor)
{
	watch_record_t *record;
	uint64_t packed;

	memcpy(&packed, &descriptor->client_data, sizeof(packed));
	record = mc_table_get(shard->watches.table, mc_handle_unpack(packed));
	if (record)
		record->ready(shard, record->arg,
			      watch_events(descriptor->rtnevents));
}

void watches_poll(mc_shard_t *shard, mc_ms_t wait)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t count = 0;
	apr_int32_t i;

	if (wait > POLL_WAIT_MAX_MS)
		wait = POLL_WAIT_MAX_MS;
	if (apr_pollset_poll(shard->watches.pollset, wait * US_PER_MS, &count,
			     &ready))
		count = 0;
	pthread_mutex_lock(&shard->lock);
	shard->now = mc_clock_now(shard->clock);
	for (i = 0; i < count; i++)
		dispatch_event(shard, &ready[i]);
}
