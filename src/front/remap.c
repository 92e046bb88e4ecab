/*
 * Moves a search in progress to a newer configuration, so that its shards can
 * still be hedged and retried: rows of the old configuration are replaced by
 * the rows of the same names in the new one. A search whose snapshot or layout
 * is not in the new configuration is left unchanged.
 */
#include "front_private.h"

#include <string.h>

static mc_row_t find_snapshot(const mc_config_t *config, mc_row_t service,
			      const char *id)
{
	const mc_row_t *rows;
	uint32_t count;
	uint32_t i;

	rows = mc_config_service_snapshots(config, service, &count);
	for (i = 0; i < count; i++)
		if (!strcmp(config->snapshots[rows[i]].id, id))
			return rows[i];
	return MC_ROW_NONE;
}

/* Whether both layouts have the same name and the same shards. */
static bool same_layout(const mc_layout_t *a, const mc_layout_t *b)
{
	return !strcmp(a->name, b->name) && a->shard_count == b->shard_count &&
	       !memcmp(a->documents, b->documents,
		       a->shard_count * sizeof(a->documents[0]));
}

static bool remap_part(const mc_config_t *from, const mc_config_t *to,
		       service_part_t *part)
{
	const char *id = from->snapshots[part->snapshot].id;
	const mc_layout_t *layout = &from->layouts[part->layout];

	part->service =
		mc_config_find_service(to, from->services[part->service].name);
	if (part->service == MC_ROW_NONE)
		return false;
	part->snapshot = find_snapshot(to, part->service, id);
	if (part->snapshot == MC_ROW_NONE)
		return false;
	part->layout = to->snapshots[part->snapshot].layout;
	return same_layout(layout, &to->layouts[part->layout]);
}

static mc_row_t remap_target(const mc_config_t *from, const mc_config_t *to,
			     mc_row_t target)
{
	if (target == MC_ROW_NONE)
		return MC_ROW_NONE;
	return mc_config_find_target(to, from->targets[target].key);
}

/*
 * Converts the targets that were tried and those of outstanding sub-queries. A
 * target that the new configuration lacks becomes MC_ROW_NONE.
 */
static void remap_slot(front_t *front, const query_t *query, shard_slot_t *slot)
{
	const mc_config_t *from = query->view->config;
	const mc_config_t *to = front->view->config;
	uint32_t i;

	for (i = 0; i < slot->attempts; i++) {
		sub_query_t *sub =
			mc_table_get(front->sub_queries, slot->subs[i]);

		slot->tried[i] = remap_target(from, to, slot->tried[i]);
		if (sub)
			sub->choice.target = slot->tried[i];
	}
}

bool query_remap(front_t *front, query_t *query)
{
	const mc_config_t *to = front->view->config;
	service_part_t parts[FRONT_PARTS_MAX];
	uint32_t i;

	if (query->view->config == to)
		return true;
	memcpy(parts, query->parts, sizeof(parts));
	for (i = 0; i < query->part_count; i++)
		if (!remap_part(query->view->config, to, &parts[i]))
			return false;
	for (i = 0; i < query->slot_count; i++)
		remap_slot(front, query, &query->slots[i]);
	memcpy(query->parts, parts, sizeof(parts));
	mc_view_unref(query->view);
	query->view = mc_view_ref(front->view);
	return true;
}
