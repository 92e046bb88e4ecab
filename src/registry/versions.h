/*
 * Versions of each service that are known to be in use.
 */
#ifndef MC_REGISTRY_VERSIONS_H
#define MC_REGISTRY_VERSIONS_H

#include "mc/registry.h"

typedef struct versions_t versions_t;

/** versions_create() - Create an empty set; NULL without memory */
versions_t *versions_create(void);

/** versions_destroy() - Free a set; NULL is allowed */
void versions_destroy(versions_t *versions);

/** versions_accept() - Add a version of a service; the one that was added first
 * is forgotten when there are MC_REGISTRY_VERSIONS_MAX */
void versions_accept(versions_t *versions, const char *service,
		     const char *version);

/**
 * versions_accept_known() - Look up a version of a service
 * @versions: the set
 * @service: the service
 * @version: the version; added if the service has none or with @any
 * @any: add the version whatever others the service has
 *
 * Return: whether the version is in the set now.
 */
bool versions_accept_known(versions_t *versions, const char *service,
			   const char *version, bool any);

#endif
