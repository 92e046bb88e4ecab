/*
 * Creation, copies and reference counts of configurations. Each configuration
 * has its own memory pool, which is destroyed with the last reference. A
 * modified copy shares the unchanged rows of the original and holds a
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

config_object_t *config_object_create(void)
{
	apr_pool_t *pool = config_pool_create();
	config_object_t *object;

	if (!pool)
		return NULL;
	object = apr_pcalloc(pool, sizeof(*object));
	if (!object) {
		apr_pool_destroy(pool);
		return NULL;
	}
	object->pool = pool;
	object->config.submission = "";
	atomic_init(&object->ref_count, 1);
	return object;
}

const config_object_t *config_object_of(const mc_config_t *config)
{
	return (const config_object_t *)config;
}

/* The reference count is the only part of a configuration that changes. */
static atomic_uint *ref_count_of(const mc_config_t *config)
{
	return &((config_object_t *)(uintptr_t)config)->ref_count;
}

const mc_config_t *mc_config_create_empty(void)
{
	config_object_t *object = config_object_create();

	if (!object)
		return NULL;
	if (config_index_build(object)) {
		mc_config_unref(&object->config);
		return NULL;
	}
	return &object->config;
}

const mc_config_t *mc_config_ref(const mc_config_t *config)
{
	atomic_fetch_add_explicit(ref_count_of(config), 1,
				  memory_order_relaxed);
	return config;
}

void mc_config_unref(const mc_config_t *config)
{
	const mc_config_t *rows_owner;

	if (!config)
		return;
	if (atomic_fetch_sub_explicit(ref_count_of(config), 1,
				      memory_order_acq_rel) > 1)
		return;
	rows_owner = config_object_of(config)->rows_owner;
	apr_pool_destroy(config_object_of(config)->pool);
	mc_config_unref(rows_owner);
}

/* Copies a configuration. The copy has its own moves and shares all else. */
static config_object_t *copy_object(const mc_config_t *config,
				    const char *submission, mc_move_t **moves)
{
	const config_object_t *from = config_object_of(config);
	config_object_t *object = config_object_create();
	size_t size = sizeof(**moves) * config->move_count;

	if (!object)
		return NULL;
	object->config = *config;
	object->index = from->index;
	object->config.submission = apr_pstrdup(object->pool, submission);
	*moves = apr_palloc(object->pool, size ? size : 1);
	if (!object->config.submission || !*moves) {
		mc_config_unref(&object->config);
		return NULL;
	}
	if (size)
		memcpy(*moves, config->moves, size);
	object->config.moves = *moves;
	object->rows_owner =
		mc_config_ref(from->rows_owner ? from->rows_owner : config);
	return object;
}

mc_err_t mc_config_with_submission(const mc_config_t *config,
				   const char *submission,
				   const mc_config_t **copy)
{
	config_object_t *object;
	mc_move_t *moves;

	if (*submission && !mc_name_is_valid(submission))
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "submission: expected a name, got \"%s\"",
			       submission);
	object = copy_object(config, submission, &moves);
	if (!object)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while copying a configuration");
	*copy = &object->config;
	return MC_OK;
}

mc_err_t mc_config_with_move_taken_back(const mc_config_t *config,
					mc_row_t move, const mc_config_t **copy)
{
	config_object_t *object;
	mc_move_t *moves;

	if (move >= config->move_count)
		return mc_fail(MC_ERR_NOT_FOUND,
			       "configuration has no move in row %u", move);
	object = copy_object(config, config->submission, &moves);
	if (!object)
		return mc_fail(MC_ERR_NO_MEMORY,
			       "out of memory while copying a configuration");
	moves[move].taken_back = true;
	*copy = &object->config;
	return MC_OK;
}
