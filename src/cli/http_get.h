/*
 * A blocking HTTP GET for commands.
 */
#ifndef MC_CLI_HTTP_GET_H
#define MC_CLI_HTTP_GET_H

#include "mc/base.h"

/**
 * http_get() - Send a GET request and wait for the response.
 * @url: URL
 * @body: receives the body of the response; the caller frees it with free()
 *
 * Return: MC_OK, or MC_ERR_IO if the request failed or the status is 400 or
 * above; there is no body then.
 */
mc_err_t http_get(const char *url, char **body);

#endif
