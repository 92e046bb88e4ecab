/*
 * Reads the settings file anew and hands what may change to the data shards.
 */
#include "reload.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum {
	FILE_MAX = 64 << 10,
	FAULTS_SIZE = 2048,
	NS_PER_S = 1000000000,
};

/* Values for one data shard, which frees them. */
typedef struct {
	tier_process_t *process;
	mc_settings_t settings;
} change_t;

static int64_t changed_at(const tier_process_t *process)
{
	struct stat status;

	if (stat(process->params.settings_path, &status))
		return process->settings_changed;
	return (int64_t)status.st_mtim.tv_sec * NS_PER_S +
	       status.st_mtim.tv_nsec;
}

void reload_note(tier_process_t *process)
{
	process->settings_changed = changed_at(process);
}

static bool read_file(const char *path, char *text, size_t *size)
{
	FILE *file = fopen(path, "r");

	if (!file)
		return false;
	*size = fread(text, 1, FILE_MAX, file);
	fclose(file);
	return *size > 0;
}

static void apply(mc_shard_t *shard, void *arg)
{
	change_t *change = arg;
	tier_t *tier = mc_runtime_shard_state(change->process->host,
					      mc_shard_index(shard));

	if (tier)
		world_extras(tier, &change->settings);
	free(change);
}

static void post(tier_process_t *process, const mc_settings_t *settings)
{
	uint32_t i;

	for (i = 0; i < mc_runtime_shard_count(process->host); i++) {
		change_t *change = malloc(sizeof(*change));

		if (!change)
			continue;
		*change = (change_t){
			.process = process,
			.settings = *settings,
		};
		if (mc_shard_post(mc_runtime_shard(process->host, i), apply,
				  change))
			free(change);
	}
}

void reload_settings(void *role)
{
	tier_process_t *process = role;
	mc_settings_t *settings = calloc(1, sizeof(*settings));
	char *text = malloc(FILE_MAX);
	char faults[FAULTS_SIZE] = "";
	size_t size = 0;

	reload_note(process);
	if (!settings || !text ||
	    !read_file(process->params.settings_path, text, &size)) {
		mc_log(process->params.log, MC_LOG_ERROR, "tier",
		       "settings stay as they are: %s can't be read",
		       process->params.settings_path);
	} else if (mc_settings_parse(text, size, MC_ROLE_TIER, settings, faults,
				     sizeof(faults))) {
		faults[strcspn(faults, "\n")] = '\0';
		mc_log(process->params.log, MC_LOG_ERROR, "tier",
		       "settings stay as they are: %s: %s",
		       process->params.settings_path, faults);
	} else {
		post(process, settings);
		mc_log(process->params.log, MC_LOG_NOTICE, "tier",
		       "settings reloaded extra_share=%g extra_slack=%u",
		       settings->extra_share, settings->extra_slack);
	}
	free(settings);
	free(text);
}

void reload_if_changed(void *role)
{
	tier_process_t *process = role;

	if (changed_at(process) != process->settings_changed)
		reload_settings(process);
}
