/*
 * Customers of a route map and the look-up of their keys. An entry that can't
 * be used is left out and counted, so that it does not lock out the others; a
 * key that two customers have is nobody's.
 */
#include <apr_strings.h>
#include <string.h>

#include "routemap_private.h"

enum {
	/* Bytes below are control characters. */
	FIRST_PRINTABLE = 0x20,
	DELETE = 0x7f,
};

/* Whether a header line can carry the text as it is. */
static bool is_header_value(const char *text, size_t size)
{
	size_t i;

	if (!size || text[0] == ' ' || text[size - 1] == ' ')
		return false;
	for (i = 0; i < size; i++)
		if ((unsigned char)text[i] < FIRST_PRINTABLE ||
		    text[i] == DELETE)
			return false;
	return true;
}

static customer_row_t *get_row(const mc_routemap_t *map, uint32_t row)
{
	return &((customer_row_t *)map->customers->elts)[row];
}

mc_err_t mc_routemap_require_keys(mc_routemap_t *map,
				  const mc_keyring_secret_t *secret)
{
	map->keyring = mc_keyring_create(secret);
	return map->keyring ? MC_OK
			    : mc_fail(MC_ERR_NO_MEMORY, "no memory for keys");
}

mc_err_t mc_routemap_add_customer(mc_routemap_t *map,
				  const mc_routemap_customer_t *customer,
				  uint32_t *row)
{
	size_t size = customer->name ? strlen(customer->name) : 0;
	customer_row_t *added;
	uintptr_t number;

	if (size > MC_ROUTEMAP_CUSTOMER_NAME_MAX ||
	    !is_header_value(customer->name, size) ||
	    map->customers->nelts >= MC_ROUTEMAP_CUSTOMERS_MAX) {
		map->faults.customers++;
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "customer without a usable name, or too many");
	}
	number = (uintptr_t)apr_hash_get(map->customer_rows, customer->name,
					 APR_HASH_KEY_STRING);
	if (number) {
		map->faults.names++;
		*row = (uint32_t)number - 1;
		return MC_OK;
	}
	*row = (uint32_t)map->customers->nelts;
	added = apr_array_push(map->customers);
	*added = (customer_row_t){ .customer = *customer };
	added->customer.name = apr_pstrdup(map->pool, customer->name);
	number = (uintptr_t)*row + 1;
	apr_hash_set(map->customer_rows, added->customer.name,
		     APR_HASH_KEY_STRING, (const void *)number);
	return MC_OK;
}

mc_err_t mc_routemap_add_key(mc_routemap_t *map, uint32_t customer,
			     const char *key, size_t size)
{
	uint32_t owner;
	mc_err_t err;

	if (!key || !is_header_value(key, size)) {
		map->faults.keys++;
		return MC_OK;
	}
	owner = mc_keyring_find(map->keyring, key, size);
	err = mc_keyring_add(map->keyring, key, size, customer);
	if (err == MC_ERR_CONFLICT) {
		map->faults.shared_keys++;
		if (owner != MC_KEYRING_NOBODY)
			get_row(map, owner)->key_count--;
		return MC_OK;
	}
	if (!err && owner == MC_KEYRING_NOBODY)
		get_row(map, customer)->key_count++;
	return err;
}

mc_err_t customers_finish(mc_routemap_t *map)
{
	int i;

	if (map->faults.customers && !map->customers->nelts)
		return mc_fail(MC_ERR_BAD_CONFIG,
			       "customers: none of %u can be read",
			       map->faults.customers);
	for (i = 0; i < map->customers->nelts; i++)
		if (!get_row(map, (uint32_t)i)->key_count)
			map->faults.without_keys++;
	return MC_OK;
}

bool mc_routemap_requires_keys(const mc_routemap_t *map)
{
	return map->keyring;
}

uint32_t mc_routemap_customer_count(const mc_routemap_t *map)
{
	return (uint32_t)map->customers->nelts;
}

const mc_routemap_customer_t *mc_routemap_customer(const mc_routemap_t *map,
						   uint32_t row)
{
	return &get_row(map, row)->customer;
}

uint32_t mc_routemap_key_count(const mc_routemap_t *map)
{
	return map->keyring ? mc_keyring_count(map->keyring) : 0;
}

const mc_routemap_customer_faults_t *mc_routemap_customer_faults(
	const mc_routemap_t *map)
{
	return &map->faults;
}

mc_err_t mc_routemap_identify(const mc_routemap_t *map,
			      const mc_routemap_route_t *route, const char *key,
			      const mc_routemap_customer_t **customer)
{
	uint32_t row;

	*customer = NULL;
	if (route->is_public || !map->keyring)
		return MC_OK;
	if (!key)
		return mc_fail(MC_ERR_KEY_MISSING,
			       "request without exactly one key");
	row = mc_keyring_find(map->keyring, key, strlen(key));
	if (row == MC_KEYRING_NOBODY)
		return mc_fail(MC_ERR_KEY_UNKNOWN, "key of no customer");
	*customer = mc_routemap_customer(map, row);
	return MC_OK;
}
