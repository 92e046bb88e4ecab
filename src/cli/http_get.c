/*
 * A blocking HTTP GET with libcurl's easy interface.
 */
#include "http_get.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	TIMEOUT_MS = 5000,
};

mc_err_t http_get(const char *url, char **body)
{
	CURL *easy = curl_easy_init();
	size_t size = 0;
	FILE *out = open_memstream(body, &size);
	CURLcode code = CURLE_FAILED_INIT;

	if (easy && out) {
		curl_easy_setopt(easy, CURLOPT_URL, url);
		curl_easy_setopt(easy, CURLOPT_PROXY, "");
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
		curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, out);
		code = curl_easy_perform(easy);
	}
	curl_easy_cleanup(easy);
	if (out)
		fclose(out);
	if (code == CURLE_OK)
		return MC_OK;
	if (out)
		free(*body);
	return mc_fail(MC_ERR_IO, "%s: %s", url, curl_easy_strerror(code));
}
