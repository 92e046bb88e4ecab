/*
 * The versions by service, in a hash table whose keys and values live until the
 * set is freed.
 */
#include "versions.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
	uint32_t count;
	char names[MC_REGISTRY_VERSIONS_MAX][MC_REGISTRY_NAME_SIZE];
} service_versions_t;

struct versions_t {
	apr_pool_t *pool;
	apr_hash_t *services;
};

versions_t *versions_create(void)
{
	versions_t *versions = calloc(1, sizeof(*versions));

	if (!versions)
		return NULL;
	if (apr_pool_create(&versions->pool, NULL)) {
		free(versions);
		return NULL;
	}
	versions->services = apr_hash_make(versions->pool);
	return versions;
}

void versions_destroy(versions_t *versions)
{
	if (!versions)
		return;
	apr_pool_destroy(versions->pool);
	free(versions);
}

static service_versions_t *find_or_add(versions_t *versions,
				       const char *service)
{
	service_versions_t *found =
		apr_hash_get(versions->services, service, APR_HASH_KEY_STRING);

	if (found)
		return found;
	found = apr_pcalloc(versions->pool, sizeof(*found));
	apr_hash_set(versions->services, apr_pstrdup(versions->pool, service),
		     APR_HASH_KEY_STRING, found);
	return found;
}

static bool has_version(const service_versions_t *service, const char *version)
{
	uint32_t i;

	for (i = 0; i < service->count; i++)
		if (!strcmp(service->names[i], version))
			return true;
	return false;
}

void versions_accept(versions_t *versions, const char *service,
		     const char *version)
{
	service_versions_t *found = find_or_add(versions, service);

	if (has_version(found, version))
		return;
	if (found->count == MC_REGISTRY_VERSIONS_MAX) {
		found->count--;
		memmove(found->names[0], found->names[1],
			found->count * sizeof(found->names[0]));
	}
	snprintf(found->names[found->count++], MC_REGISTRY_NAME_SIZE, "%s",
		 version);
}

bool versions_accept_known(versions_t *versions, const char *service,
			   const char *version, bool any)
{
	const service_versions_t *found = find_or_add(versions, service);

	if (any || !found->count)
		versions_accept(versions, service, version);
	return has_version(found, version);
}
