/*
 * The kinds of values in a settings file: how to read and describe each.
 */
#include "keys.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CHOICE_SIZE = sizeof(((mc_policy_t *)0)->replica),
	NAME_SIZE = sizeof(((mc_settings_t *)0)->data_center),
	MS_PER_S = 1000,
};

static bool read_name(const settings_key_t *key, const mc_toml_node_t *node,
		      void *out)
{
	(void)key;
	if (node->kind != MC_TOML_STRING || !mc_name_is_valid(node->string))
		return false;
	snprintf(out, NAME_SIZE, "%s", node->string);
	return true;
}

static void describe_name(const settings_key_t *key, char *text, size_t size)
{
	(void)key;
	snprintf(text, size, "a name of 1 to %d letters, digits, or . _ : + -",
		 NAME_SIZE - 1);
}

static bool read_address(const settings_key_t *key, const mc_toml_node_t *node,
			 void *out)
{
	char host[MC_ADDRESS_SIZE];
	uint16_t port;

	if (node->kind != MC_TOML_STRING ||
	    strlen(node->string) >= MC_ADDRESS_SIZE ||
	    mc_address_split(node->string, host, sizeof(host), &port) ||
	    port < key->min)
		return false;
	snprintf(out, MC_ADDRESS_SIZE, "%s", node->string);
	return true;
}

static void describe_address(const settings_key_t *key, char *text, size_t size)
{
	snprintf(text, size, "IP:port with a port from %d to 65535",
		 (int)key->min);
}

static bool read_peers(const settings_key_t *key, const mc_toml_node_t *node,
		       void *out)
{
	char(*peers)[MC_ADDRESS_SIZE] = out;
	const mc_toml_node_t *child;
	uint32_t count = 0;

	if (node->kind != MC_TOML_ARRAY)
		return false;
	for (child = node->first; child; child = child->next) {
		if (count == MC_SEED_PEERS_MAX ||
		    !read_address(key, child, peers[count]))
			return false;
		count++;
	}
	return true;
}

static void describe_peers(const settings_key_t *key, char *text, size_t size)
{
	(void)key;
	snprintf(text, size, "an array of at most %d addresses IP:port",
		 MC_SEED_PEERS_MAX);
}

static bool is_in_range(const settings_key_t *key, const mc_toml_node_t *node)
{
	return node->kind == MC_TOML_INTEGER && node->integer >= key->min &&
	       node->integer <= key->max;
}

static bool read_u32(const settings_key_t *key, const mc_toml_node_t *node,
		     void *out)
{
	if (!is_in_range(key, node))
		return false;
	*(uint32_t *)out = (uint32_t)node->integer;
	return true;
}

static bool read_u64(const settings_key_t *key, const mc_toml_node_t *node,
		     void *out)
{
	if (!is_in_range(key, node))
		return false;
	memcpy(out, &node->integer, sizeof(node->integer));
	return true;
}

/* Parses a decimal number without a sign, a space and a unit, as in "2.5 s". */
static bool parse_duration(const char *text, double *duration)
{
	size_t length = strspn(text, "0123456789.");
	char *end;

	if (!length || *text == '.')
		return false;
	*duration = strtod(text, &end);
	if (end != text + length)
		return false;
	if (!strcmp(end, " s"))
		*duration *= MS_PER_S;
	else if (strcmp(end, " ms") != 0)
		return false;
	return true;
}

/* A duration is an integer, ms, or a string with its unit. */
static bool read_duration(const settings_key_t *key, const mc_toml_node_t *node,
			  void *out)
{
	double duration;

	if (node->kind == MC_TOML_INTEGER)
		duration = (double)node->integer;
	else if (node->kind != MC_TOML_STRING ||
		 !parse_duration(node->string, &duration))
		return false;
	if (!(duration >= (double)key->min && duration <= (double)key->max))
		return false;
	*(mc_ms_t *)out = (mc_ms_t)duration;
	return true;
}

static void describe_duration(const settings_key_t *key, char *text,
			      size_t size)
{
	snprintf(text, size,
		 "an integer from %lld to %lld, ms, or a string such as "
		 "\"2.5 s\"",
		 (long long)key->min, (long long)key->max);
}

static bool read_amount(const settings_key_t *key, const mc_toml_node_t *node,
			void *out)
{
	double amount = node->kind == MC_TOML_INTEGER ? (double)node->integer
						      : node->real;

	if ((node->kind != MC_TOML_FLOAT && node->kind != MC_TOML_INTEGER) ||
	    !(amount >= (double)key->min && amount <= (double)key->max))
		return false;
	memcpy(out, &amount, sizeof(amount));
	return true;
}

static void describe_amount(const settings_key_t *key, char *text, size_t size)
{
	snprintf(text, size, "a number from %lld to %lld", (long long)key->min,
		 (long long)key->max);
}

static void describe_number(const settings_key_t *key, char *text, size_t size)
{
	snprintf(text, size, "an integer from %lld to %lld",
		 (long long)key->min, (long long)key->max);
}

static bool read_share(const settings_key_t *key, const mc_toml_node_t *node,
		       void *out)
{
	double share = node->kind == MC_TOML_INTEGER ? (double)node->integer
						     : node->real;

	(void)key;
	if ((node->kind != MC_TOML_FLOAT && node->kind != MC_TOML_INTEGER) ||
	    !(share >= 0 && share <= 1))
		return false;
	memcpy(out, &share, sizeof(share));
	return true;
}

static void describe_share(const settings_key_t *key, char *text, size_t size)
{
	(void)key;
	snprintf(text, size, "a number from 0 to 1");
}

static bool read_log_level(const settings_key_t *key,
			   const mc_toml_node_t *node, void *out)
{
	(void)key;
	return node->kind == MC_TOML_STRING &&
	       mc_log_level_parse(node->string, out) == MC_OK;
}

static void describe_log_level(const settings_key_t *key, char *text,
			       size_t size)
{
	(void)key;
	snprintf(text, size,
		 "\"error\", \"warning\", \"notice\", \"info\" or \"debug\"");
}

static bool read_choice(const settings_key_t *key, const mc_toml_node_t *node,
			void *out)
{
	const char *const *choice;

	if (node->kind != MC_TOML_STRING)
		return false;
	for (choice = key->choices; *choice; choice++) {
		if (strcmp(*choice, node->string))
			continue;
		snprintf(out, CHOICE_SIZE, "%s", *choice);
		return true;
	}
	return false;
}

static void describe_choice(const settings_key_t *key, char *text, size_t size)
{
	const char *const *choice;
	size_t used = 0;

	for (choice = key->choices; *choice && used < size; choice++)
		used += (size_t)snprintf(text + used, size - used, "%s\"%s\"",
					 used ? " or " : "", *choice);
}

const settings_kind_t settings_kind_name = {
	.read = read_name,
	.describe = describe_name,
};

const settings_kind_t settings_kind_address = {
	.read = read_address,
	.describe = describe_address,
};

const settings_kind_t settings_kind_peers = {
	.read = read_peers,
	.describe = describe_peers,
};

const settings_kind_t settings_kind_u32 = {
	.read = read_u32,
	.describe = describe_number,
};

const settings_kind_t settings_kind_u64 = {
	.read = read_u64,
	.describe = describe_number,
};

const settings_kind_t settings_kind_duration = {
	.read = read_duration,
	.describe = describe_duration,
};

const settings_kind_t settings_kind_amount = {
	.read = read_amount,
	.describe = describe_amount,
};

const settings_kind_t settings_kind_share = {
	.read = read_share,
	.describe = describe_share,
};

const settings_kind_t settings_kind_level = {
	.read = read_log_level,
	.describe = describe_log_level,
};

const settings_kind_t settings_kind_choice = {
	.read = read_choice,
	.describe = describe_choice,
};
