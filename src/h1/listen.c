/*
 * Accepts server connections, and closes them all for a planned stop.
 */
#include "server_conn.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

enum {
	/* Pause after a failure to accept, as without descriptors, ms. */
	ACCEPT_RETRY_MS = 100,
	/* Least idle time-out; timers that are set to now would fire again and
	 * again. */
	IDLE_TIMEOUT_MIN_MS = 10,
};

static void resume_accepting(mc_shard_t *shard, void *arg)
{
	mc_h1_t *h1 = arg;

	h1->accept_timer = MC_HANDLE_NONE;
	mc_watch_change(shard, h1->listen_watch, MC_WATCH_READ);
}

/* The socket stays ready while connections wait, so it is not watched for some
 * time. */
static void handle_accept_failure(mc_h1_t *h1, int error)
{
	mc_counter_add(mc_shard_counters(h1->shard), MC_COUNTER_ACCEPTS_FAILED,
		       1);
	mc_log(mc_shard_log(h1->shard), MC_LOG_WARNING, "h1",
	       "connections not accepted for a while: %s ms=%d",
	       strerror(error), ACCEPT_RETRY_MS);
	if (h1->accept_timer.generation)
		return;
	if (mc_timer_set(h1->shard, mc_shard_now(h1->shard) + ACCEPT_RETRY_MS,
			 resume_accepting, h1, &h1->accept_timer))
		mc_log(mc_shard_log(h1->shard), MC_LOG_ERROR, "h1",
		       "accepting not paused: %s", mc_last_error_message());
	else
		mc_watch_change(h1->shard, h1->listen_watch, 0);
}

static void accept_conns(mc_shard_t *shard, void *arg, int events)
{
	mc_h1_t *h1 = arg;
	int fd;

	(void)shard;
	(void)events;
	for (;;) {
		fd = accept4(h1->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
			continue;
		if (fd < 0) {
			if (errno != EAGAIN && errno != EWOULDBLOCK)
				handle_accept_failure(h1, errno);
			return;
		}
		server_conn_add(h1, fd);
	}
}

mc_err_t mc_h1_serve(mc_h1_t *h1, int fd, const mc_h1_server_handlers_t *server,
		     void *ctx)
{
	h1->server = server;
	h1->server_ctx = ctx;
	h1->listen_fd = fd;
	return mc_watch_add(h1->shard, fd, MC_WATCH_READ, accept_conns, h1,
			    &h1->listen_watch);
}

void mc_h1_set_limits(mc_h1_t *h1, const mc_h1_limits_t *limits)
{
	h1->limits = *limits;
	if (h1->limits.idle_timeout < IDLE_TIMEOUT_MIN_MS)
		h1->limits.idle_timeout = IDLE_TIMEOUT_MIN_MS;
}

void mc_h1_start_draining(mc_h1_t *h1)
{
	h1->draining = true;
}

/* Accepts the connections that are waiting, which would else be reset, and
 * refuses further ones. */
static void stop_listening(mc_h1_t *h1)
{
	if (h1->closing || !h1->server)
		return;
	accept_conns(h1->shard, h1, MC_WATCH_READ);
	mc_timer_cancel(h1->shard, h1->accept_timer);
	mc_watch_remove(h1->shard, h1->listen_watch);
	shutdown(h1->listen_fd, SHUT_RD);
}

void mc_h1_close_idle(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	server_conn_t *conn;

	h1->draining = true;
	stop_listening(h1);
	h1->closing = true;
	while ((conn = mc_table_next(h1->server_conns, &cursor, &handle)))
		server_conn_close_if_idle(conn);
}

uint32_t mc_h1_server_connection_count(const mc_h1_t *h1)
{
	return mc_table_count(h1->server_conns);
}

mc_err_t h1_server_init(mc_h1_t *h1)
{
	h1->server_conns =
		mc_table_create(sizeof(server_conn_t), MC_H1_CONNECTIONS_MAX);
	return h1->server_conns ? MC_OK : MC_ERR_NO_MEMORY;
}

void h1_server_destroy(mc_h1_t *h1)
{
	uint32_t cursor = 0;
	mc_handle_t handle;
	server_conn_t *conn;

	if (!h1->server_conns)
		return;
	while ((conn = mc_table_next(h1->server_conns, &cursor, &handle)))
		server_conn_free(conn);
	if (h1->server && !h1->closing) {
		mc_timer_cancel(h1->shard, h1->accept_timer);
		mc_watch_remove(h1->shard, h1->listen_watch);
	}
	mc_table_destroy(h1->server_conns);
}
