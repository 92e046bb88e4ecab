/*
 * A GET that waits for its answer, for commands.
 */
#ifndef MC_CLI_HTTP_CALL_H
#define MC_CLI_HTTP_CALL_H

#include "mc/base.h"

/* @body receives the answer's body, to be freed with free(). */
mc_err_t http_call_get(const char *url, char **body);

#endif
