/*
 * Processes of the instances: signals, and what follows from them. No function
 * waits for a process; instances_poll() notices what has happened.
 */
#ifndef SOAK_INSTANCES_H
#define SOAK_INSTANCES_H

#include "soak.h"

/** instances_start() - Start the process of an instance that is gone */
void instances_start(soak_t *soak, uint32_t index);

/** instances_stop() - Send SIGTERM, also to a process that is stopping */
void instances_stop(soak_t *soak, uint32_t index);

/** instances_reload() - Send SIGHUP */
void instances_reload(soak_t *soak, uint32_t index);

/** instances_kill() - Send SIGKILL; the instance starts again later */
void instances_kill(soak_t *soak, uint32_t index);

/** instances_freeze() - Send SIGSTOP, unless it is frozen */
void instances_freeze(soak_t *soak, uint32_t index);

/**
 * instances_stall() - Send SIGSTOP, and SIGCONT soon after
 * @soak: the soak
 * @index: the instance
 *
 * Stands for a busy machine on which a process doesn't run for a moment. It
 * excuses no request without an answer.
 */
void instances_stall(soak_t *soak, uint32_t index);

/** instances_resume() - Send SIGCONT, if it is frozen */
void instances_resume(soak_t *soak, uint32_t index);

/**
 * instances_poll() - Notice processes that accept connections or have exited
 * @soak: the soak
 *
 * Reports a process that exited without a signal, or that was stopped and
 * exited with a status other than 0 or later than its grace period. Schedules
 * the next start of an instance.
 */
void instances_poll(soak_t *soak);

/** instances_all_have() - Return whether all instances are in @state */
bool instances_all_have(const soak_t *soak, soak_state_t state);

#endif
