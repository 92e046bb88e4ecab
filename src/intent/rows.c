/*
 * Writes one row of the configuration per call. The rows are not validated
 * here, because mc_intent_print() validates the complete configuration.
 */
#include "builder.h"

#include <inttypes.h>

#include "mc/toml.h"

static void write_text(mc_intent_t *intent, const char *key, const char *value)
{
	mc_toml_write_string(intent->out, key, value ? value : "");
}

static void write_number(mc_intent_t *intent, const char *key, uint64_t value)
{
	fprintf(intent->out, "%s = %" PRIu64 "\n", key, value);
}

static void begin_row(mc_intent_t *intent, const char *table)
{
	fprintf(intent->out, "[[%s]]\n", table);
}

void mc_intent_data_center(mc_intent_t *intent, const char *name, bool in)
{
	begin_row(intent, "data_center");
	write_text(intent, "name", name);
	write_text(intent, "state", in ? "in" : "out");
}

void mc_intent_service(mc_intent_t *intent, const char *name, mc_ms_t deadline)
{
	begin_row(intent, "service");
	write_text(intent, "name", name);
	fprintf(intent->out, "deadline_ms = %" PRId64 "\n", deadline);
}

void mc_intent_layout(mc_intent_t *intent, const char *service,
		      const char *name, uint32_t shard_count,
		      const uint64_t *documents)
{
	uint32_t i;

	begin_row(intent, "layout");
	write_text(intent, "service", service);
	write_text(intent, "name", name);
	fputs("documents = [", intent->out);
	for (i = 0; i < shard_count; i++)
		fprintf(intent->out, "%s%" PRIu64, i ? ", " : "", documents[i]);
	fputs("]\n", intent->out);
}

void mc_intent_snapshot(mc_intent_t *intent, const char *service,
			const char *id, const char *layout, uint64_t order)
{
	begin_row(intent, "snapshot");
	write_text(intent, "service", service);
	write_text(intent, "id", id);
	write_text(intent, "layout", layout);
	write_number(intent, "order", order);
}

void mc_intent_target(mc_intent_t *intent, const char *service,
		      const char *layout, uint32_t shard,
		      const char *data_center, const char *version,
		      const char *address)
{
	begin_row(intent, "target");
	write_text(intent, "service", service);
	write_text(intent, "layout", layout);
	write_number(intent, "shard", shard);
	write_text(intent, "data_center", data_center);
	write_text(intent, "version", version);
	write_text(intent, "address", address);
}

void mc_intent_move(mc_intent_t *intent, const char *service, const char *from,
		    const char *to, mc_ms_t start, mc_ms_t done_by,
		    mc_move_fallback_t without_evidence)
{
	begin_row(intent, "move");
	write_text(intent, "service", service);
	write_text(intent, "from", from);
	write_text(intent, "to", to);
	mc_toml_write_time(intent->out, "start", start);
	mc_toml_write_time(intent->out, "done_by", done_by);
	write_text(intent, "without_evidence",
		   without_evidence == MC_MOVE_FALLBACK_FINISH ? "finish"
							       : "take_back");
}
