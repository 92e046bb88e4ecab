/*
 * Reloads the settings file while the process runs. Only the limit of extra
 * requests takes effect; all other settings, such as addresses and the number
 * of shards, keep their values until the next start.
 */
#ifndef MC_TIER_RELOAD_H
#define MC_TIER_RELOAD_H

#include "tier_private.h"

/** reload_record_mtime() - Record the modification time of the settings file */
void reload_record_mtime(tier_process_t *process);

/** reload_settings() - Reload the settings; on the main thread */
void reload_settings(void *role);

/** reload_if_changed() - Reload the settings if the file has changed; on the
 * main thread */
void reload_if_changed(void *role);

#endif
