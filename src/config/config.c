/*
 * Lifetime of configurations. Each has a pool of its own, which owns all its
 * memory and goes with the last reference. A copy with one thing changed
 * shares the rows of the configuration that it was made from and holds a
 * reference to it.
 */
#include "config_private.h"

#include <pthread.h>
#include <string.h>
#include <apr_general.h>
#include <apr_strings.h>

#include "mc/settings.h"

static void initialize_apr(void)
{
	apr_initialize();
}

apr_pool_t *config_pool_create(void)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	apr_pool_t *pool;

	pthread_once(&once, initialize_apr);
	if (apr_pool_create_unmanaged_ex(&pool, NULL, NULL) != APR_SUCCESS)
		return NULL;
	return pool;
}

config_whole_t *config_whole_create(void)
{
	apr_pool_t *pool = config_pool_create();
	config_whole_t *whole;

	if (!pool)
		return NULL;
	whole = apr_pcalloc(pool, sizeof(*whole));
	if (!whole) {
		apr_pool_destroy(pool);
		return NULL;
	}
	whole->pool = pool;
	whole->config.submission = "";
	atomic_init(&whole->refs, 1);
	return whole;
}

const config_whole_t *config_whole(const mc_config_t *config)
{
	return (const config_whole_t *)config;
}

/* References may change in a configuration that is otherwise constant. */
static atomic_uint *refs_of(const mc_config_t *config)
{
	return &((config_whole_t *)(uintptr_t)config)->refs;
}

const mc_config_t *mc_config_create_empty(void)
{
	config_whole_t *whole = config_whole_create();

	if (!whole)
		return NULL;
	if (config_index_build(whole)) {
		mc_config_unref(&whole->config);
		return NULL;
	}
	return &whole->config;
}

const mc_config_t *mc_config_ref(const mc_config_t *config)
{
	atomic_fetch_add_explicit(refs_of(config), 1, memory_order_relaxed);
	return config;
}

void mc_config_unref(const mc_config_t *config)
{
	const mc_config_t *owner;

	if (!config)
		return;
	if (atomic_fetch_sub_explicit(refs_of(config), 1,
				      memory_order_acq_rel) > 1)
		return;
	owner = config_whole(config)->owner;
	apr_pool_destroy(config_whole(config)->pool);
	mc_config_unref(owner);
}

/* A copy with rows of its own for moves, all else being shared. */
static config_whole_t *copy_whole(const mc_config_t *config,
				  const char *submission, mc_move_t **moves)
{
	const config_whole_t *from = config_whole(config);
	config_whole_t *whole = config_whole_create();
	size_t size = sizeof(**moves) * config->move_count;

	if (!whole)
		return NULL;
	whole->config = *config;
	whole->index = from->index;
	whole->config.submission = apr_pstrdup(whole->pool, submission);
	*moves = apr_palloc(whole->pool, size ? size : 1);
	if (!whole->config.submission || !*moves) {
		mc_config_unref(&whole->config);
		return NULL;
	}
	if (size)
		memcpy(*moves, config->moves, size);
	whole->config.moves = *moves;
	whole->owner = mc_config_ref(from->owner ? from->owner : config);
	return whole;
}

mc_err_t mc_config_with_submission(const mc_config_t *config,
				   const char *submission,
				   const mc_config_t **copy)
{
	config_whole_t *whole;
	mc_move_t *moves;

	if (*submission && !mc_name_is_valid(submission))
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "submission: expected a name, got \"%s\"",
			       submission);
	whole = copy_whole(config, submission, &moves);
	if (!whole)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a copy");
	*copy = &whole->config;
	return MC_OK;
}

mc_err_t mc_config_with_move_taken_back(const mc_config_t *config,
					mc_row_t move, const mc_config_t **copy)
{
	config_whole_t *whole;
	mc_move_t *moves;

	if (move >= config->move_count)
		return mc_fail(MC_ERR_NOT_FOUND, "no move with row %u", move);
	whole = copy_whole(config, config->submission, &moves);
	if (!whole)
		return mc_fail(MC_ERR_NO_MEMORY, "no memory for a copy");
	moves[move].taken_back = true;
	*copy = &whole->config;
	return MC_OK;
}
