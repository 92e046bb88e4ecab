/*
 * A route map's tables, shared by the files of the library.
 */
#ifndef MC_ROUTEMAP_PRIVATE_H
#define MC_ROUTEMAP_PRIVATE_H

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_tables.h>

#include "mc/routemap.h"

/* A customer, and the number of keys that are its own. */
typedef struct {
	mc_routemap_customer_t customer;
	uint32_t key_count;
} customer_row_t;

struct mc_routemap_t {
	apr_pool_t *pool;
	uint32_t refs;
	uint64_t version;
	mc_routemap_limits_t limits;
	apr_array_header_t *routes;
	apr_array_header_t *services;
	apr_array_header_t *destinations;
	/* Row number of each service by its name, plus one, as a stored 0 is
	 * taken for no entry. */
	apr_hash_t *service_rows;
	/* Rows are customer_row_t. */
	apr_array_header_t *customers;
	/* Row number of each customer by its name, plus one. */
	apr_hash_t *customer_rows;
	/* Rows of the customers by their keys; NULL where requests need no key.
	 */
	mc_keyring_t *keyring;
	mc_routemap_customer_faults_t faults;
};

/** customers_finish() - Check the customers after the last row */
mc_err_t customers_finish(mc_routemap_t *map);

#endif
