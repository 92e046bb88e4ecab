/*
 * Public header of the news library: instances of one data centre pass on what
 * the store told one of them, so that not each has to ask the store. An
 * instance hears the first one, by rank, that hears the store itself; the one
 * that finds none before it asks the store and tells those behind it. Nobody
 * elects and nothing is agreed on: who hears nobody asks the store.
 *
 * All functions are for the thread of the shard.
 */
#ifndef MC_RELAY_H
#define MC_RELAY_H

#include "mc/net.h"
#include "mc/wire.h"

enum {
	MC_RELAY_NAME_SIZE = 128,
	/* Most instances that one is told of. */
	MC_RELAY_PEERS_MAX = 256,
};

/** struct mc_news_peer_t - another instance of this data centre */
typedef struct mc_relay_peer_t {
	char name[MC_RELAY_NAME_SIZE];
	char address[MC_RELAY_NAME_SIZE];
} mc_relay_peer_t;

/**
 * struct mc_news_ops_t - the instance's own side
 * @describe: fill @revisions of all kinds; true while it hears the store itself
 * @told: changes of a kind above a revision, in the store's own words
 * @known: the one that is heard knows kinds up to these revisions
 * @heard: mc_news_is_heard() has changed
 */
typedef struct mc_relay_ops_t {
	bool (*get_revisions)(void *ctx, uint64_t *revisions);
	void (*on_changes)(void *ctx, uint32_t kind, uint64_t above,
			   const char *text);
	void (*on_revisions)(void *ctx, const uint64_t *revisions);
	void (*on_upstream_changed)(void *ctx);
} mc_relay_ops_t;

/**
 * struct mc_news_params_t - what it works with
 * @shard: the shard that all runs on
 * @address: "IP:port" where it is heard
 * @name: this instance's
 * @kinds: number of kinds of records, at most MC_WIRE_NEWS_KINDS_MAX
 * @ops: the instance's side; must outlive the news
 * @ctx: passed to @ops
 */
typedef struct mc_relay_params_t {
	mc_shard_t *shard;
	const char *listen_address;
	const char *instance_name;
	uint32_t kind_count;
	const mc_relay_ops_t *ops;
	void *ctx;
} mc_relay_params_t;

typedef struct mc_relay_t mc_relay_t;

/** mc_news_create() - NULL, with a last message, when nobody could hear it */
mc_relay_t *mc_relay_create(const mc_relay_params_t *params);

/** mc_news_destroy() - NULL is allowed */
void mc_relay_destroy(mc_relay_t *news);

/** mc_news_peers() - the others of this data centre, as far as is known */
void mc_relay_set_peers(mc_relay_t *news, const mc_relay_peer_t *peers,
			uint32_t count);

/**
 * mc_news_tell() - pass on what the store said
 * @text: copied; when it is too much for this instance's link, hearers are only
 *	told that there is something, by the revisions of @describe
 */
void mc_relay_send_changes(mc_relay_t *news, uint32_t kind, uint64_t above,
			   const char *text);

/** mc_news_is_heard() - another instance is heard that hears the store */
bool mc_relay_has_upstream(const mc_relay_t *news);

/** mc_news_heard_at() - when another instance was heard last, ms */
mc_ms_t mc_relay_last_received(const mc_relay_t *news);

/** mc_news_hearers() - instances that hear this one */
uint32_t mc_relay_subscriber_count(const mc_relay_t *news);

/**
 * mc_news_rank() - which of the peers may be heard, the first first
 * @name: this instance's
 * @peers: the others; sorted on return
 * @count: number of peers
 *
 * Pure. Ranks are the same on every instance, so that hearing makes no circle.
 *
 * Return: how many of the sorted peers go before this instance.
 */
uint32_t mc_relay_rank_peers(const char *name, mc_relay_peer_t *peers,
			     uint32_t count);

#endif
