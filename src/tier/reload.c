/*
 * Reloads the settings file and posts the settings to the data shards, which
 * apply the limit of extra requests.
 */
#include "reload.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum {
	FILE_MAX = 64 << 10,
	ERRORS_SIZE = 2048,
	NS_PER_S = 1000000000,
};

/* Settings posted to one data shard, which frees them. */
typedef struct {
	tier_process_t *process;
	mc_settings_t settings;
} settings_update_t;

static int64_t settings_mtime_of(const tier_process_t *process)
{
	struct stat status;

	if (stat(process->params.settings_path, &status))
		return process->settings_mtime;
	return (int64_t)status.st_mtim.tv_sec * NS_PER_S +
	       status.st_mtim.tv_nsec;
}

void reload_record_mtime(tier_process_t *process)
{
	process->settings_mtime = settings_mtime_of(process);
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

static void apply_settings(mc_shard_t *shard, void *arg)
{
	settings_update_t *update = arg;
	tier_t *tier = mc_runtime_shard_state(update->process->runtime,
					      mc_shard_index(shard));

	if (tier)
		extra_limit_set(tier, &update->settings);
	free(update);
}

static void post_settings(tier_process_t *process,
			  const mc_settings_t *settings)
{
	uint32_t i;

	for (i = 0; i < mc_runtime_shard_count(process->runtime); i++) {
		settings_update_t *update = malloc(sizeof(*update));

		if (!update)
			continue;
		*update = (settings_update_t){
			.process = process,
			.settings = *settings,
		};
		if (mc_shard_post(mc_runtime_shard(process->runtime, i),
				  apply_settings, update))
			free(update);
	}
}

void reload_settings(void *role)
{
	tier_process_t *process = role;
	mc_settings_t *settings = calloc(1, sizeof(*settings));
	char *text = malloc(FILE_MAX);
	char errors[ERRORS_SIZE] = "";
	size_t size = 0;

	reload_record_mtime(process);
	if (!settings || !text ||
	    !read_file(process->params.settings_path, text, &size)) {
		mc_log(process->params.log, MC_LOG_ERROR, "tier",
		       "settings not reloaded: %s can't be read",
		       process->params.settings_path);
	} else if (mc_settings_parse(text, size, MC_ROLE_TIER, settings, errors,
				     sizeof(errors))) {
		errors[strcspn(errors, "\n")] = '\0';
		mc_log(process->params.log, MC_LOG_ERROR, "tier",
		       "settings not reloaded: invalid file: %s: %s",
		       process->params.settings_path, errors);
	} else {
		post_settings(process, settings);
		mc_log(process->params.log, MC_LOG_NOTICE, "tier",
		       "settings reloaded extra_share=%g extra_slack=%g",
		       settings->extra_share, settings->extra_slack);
	}
	free(settings);
	free(text);
}

void reload_if_changed(void *role)
{
	tier_process_t *process = role;

	if (settings_mtime_of(process) != process->settings_mtime)
		reload_settings(process);
}
