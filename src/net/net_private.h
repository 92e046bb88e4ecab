/*
 * The components of a shard, shared by the files of this library.
 */
#ifndef MC_NET_PRIVATE_H
#define MC_NET_PRIVATE_H

#include <apr_poll.h>
#include <apr_pools.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>

#include "mc/net.h"

enum {
	/* Most watched descriptors, and most timers, of one shard. */
	NET_WATCHES_MAX = 65536,
	NET_TIMERS_MAX = 1 << 20,
	NET_LISTEN_BACKLOG = 1024,
};

/* A call that is queued in an inbox or until the end of a turn. */
typedef struct {
	void (*run)(mc_shard_t *shard, void *arg);
	void *arg;
} call_t;

typedef struct {
	call_t *list;
	uint32_t count;
	uint32_t capacity;
} call_list_t;

/* Calls posted by any thread. The lock is held only to add or take calls. */
typedef struct {
	pthread_mutex_t lock;
	call_list_t calls;
} inbox_t;

typedef struct {
	mc_ms_t at;
	mc_handle_t timer;
} heap_entry_t;

typedef struct {
	mc_table_t *table;
	heap_entry_t *heap;
	uint32_t count;
	uint32_t capacity;
} timers_t;

typedef struct {
	apr_pollset_t *pollset;
	apr_pool_t *pool;
	mc_table_t *table;
	/* APR's wrappers of sockets by index in @table; they are reused. */
	apr_socket_t *sockets[NET_WATCHES_MAX];
} watches_t;

typedef struct {
	CURLM *multi;
	mc_table_t *requests;
	/* Fires when libcurl's time-out is over. */
	mc_handle_t timer;
	/* run_deferred_action() runs at the end of the turn. */
	bool action_pending;
	/* Easy handles of finished requests, for reuse. */
	CURL *idle[256];
	uint32_t idle_count;
} http_client_t;

typedef struct {
	struct MHD_Daemon *daemon;
	mc_handle_t watch;
	mc_handle_t timer;
	mc_table_t *exchanges;
	mc_http_handler_t handler;
	void *ctx;
	/* run_daemon() runs at the end of the turn. */
	bool run_pending;
	/* Listening has stopped, and each response closes its connection. */
	bool stopping;
} http_server_t;

struct mc_shard_t {
	uint32_t index;
	const mc_clock_t *clock;
	mc_log_t *log;
	mc_ms_t now;
	mc_random_t random;
	mc_counters_t counters;
	pthread_mutex_t lock;
	pthread_t thread;
	bool started;
	bool stopping;
	inbox_t inbox;
	call_list_t deferred;
	timers_t timers;
	watches_t watches;
	mc_table_t *links;
	mc_table_t *listeners;
	http_client_t client;
	http_server_t server;
};

mc_err_t call_list_add(call_list_t *calls, call_t call);
/* Runs the calls listed so far. Returns whether there were any. */
bool call_list_run(call_list_t *calls, mc_shard_t *shard);

void inbox_init(inbox_t *inbox);
void inbox_destroy(inbox_t *inbox);
bool inbox_run(inbox_t *inbox, mc_shard_t *shard);

mc_err_t timers_init(timers_t *timers);
void timers_destroy(timers_t *timers);
void timers_run(mc_shard_t *shard);
/*
 * Returns the time of the first entry in the heap, ms; MC_MS_NEVER if there is
 * none. The entry may be that of a canceled timer.
 */
mc_ms_t timers_next(const timers_t *timers);

mc_err_t watches_init(watches_t *watches);
void watches_destroy(watches_t *watches);
/*
 * Waits at most @wait ms for events, without the shard's lock, then takes the
 * lock and calls the handlers. The caller must release the lock.
 */
void watches_poll(mc_shard_t *shard, mc_ms_t wait);

mc_err_t links_init(mc_shard_t *shard);
void links_destroy(mc_shard_t *shard);
/* Makes a link of a connection that a listener has accepted. */
mc_err_t link_accept(mc_shard_t *shard, int fd, const mc_link_events_t *events,
		     void *ctx);

mc_err_t listeners_init(mc_shard_t *shard);
void listeners_destroy(mc_shard_t *shard);

mc_err_t http_client_init(mc_shard_t *shard);
void http_client_destroy(mc_shard_t *shard);

mc_err_t http_server_init(mc_shard_t *shard);
void http_server_destroy(mc_shard_t *shard);

typedef struct {
	struct sockaddr_storage storage;
	socklen_t size;
} address_t;

mc_err_t address_parse(const char *text, address_t *address);
uint16_t address_port(int fd);
/* Opens a non-blocking listening socket; @share: set SO_REUSEPORT. */
mc_err_t address_listen(const char *text, bool share, int *fd);

#endif
