/*
 * Writes responses of server connections.
 */
#include "server_conn.h"

#include <stdio.h>
#include <string.h>

enum {
	HEADER_LINES_SIZE = 256,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
};

/* What each response begins with. */
static const char http_version[] = "HTTP/1.1 ";

mc_err_t response_begin(server_conn_t *conn)
{
	mc_err_t err = h1_buffer_append(&conn->stream.out, http_version,
					strlen(http_version));

	conn->version_sent = !err;
	return err;
}

static const char *reason_phrase(int status)
{
	switch (status) {
#define XX(number, name, text) \
	case number:           \
		return #text;
		HTTP_STATUS_MAP(XX)
#undef XX
	default:
		return "Status";
	}
}

mc_err_t response_write(server_conn_t *conn, const mc_h1_response_t *response)
{
	h1_buffer_t *out = &conn->stream.out;
	const char *header_lines =
		response->header_lines ? response->header_lines : "";
	bool sized = response->status != STATUS_NO_CONTENT &&
		     response->status != STATUS_NOT_MODIFIED &&
		     response->body_size != MC_H1_SIZE_UNKNOWN;
	char head[HEADER_LINES_SIZE];
	int size;
	mc_err_t err;

	size = snprintf(head, sizeof(head), "%s%d %s\r\n",
			conn->version_sent ? "" : http_version,
			response->status, reason_phrase(response->status));
	conn->version_sent = false;
	err = h1_buffer_append(out, head, (size_t)size);
	if (!err)
		err = h1_buffer_append(out, header_lines, strlen(header_lines));
	size = 0;
	if (sized)
		size = snprintf(head, sizeof(head), "Content-Length: %zu\r\n",
				response->body_size);
	size += snprintf(head + size, sizeof(head) - (size_t)size, "%s\r\n",
			 conn->keep_alive ? "" : "Connection: close\r\n");
	if (!err)
		err = h1_buffer_append(out, head, (size_t)size);
	if (!err && sized && !conn->no_body)
		err = h1_buffer_append(out, response->body,
				       response->body_size);
	return err;
}
