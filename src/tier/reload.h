/*
 * Settings that change while the process runs. Addresses and the number of
 * shards keep their values until the next start.
 */
#ifndef MC_TIER_RELOAD_H
#define MC_TIER_RELOAD_H

#include "tier_private.h"

/** reload_note() - remember the settings file as it is now */
void reload_record_mtime(tier_process_t *process);

/** reload_settings() - read the settings anew; on the main thread */
void reload_settings(void *role);

/** reload_if_changed() - the same, if the file has changed */
void reload_if_changed(void *role);

#endif
