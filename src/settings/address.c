/*
 * Validation of names and addresses. Only the canonical spelling of an address
 * is valid, so that equal addresses are equal strings.
 */
#include "mc/settings.h"

#include <arpa/inet.h>
#include <string.h>

enum {
	NAME_LENGTH_MAX = 63,
	PORT_MAX = 65535,
	PORT_DIGITS_MAX = 5,
	DECIMAL = 10,
};

bool mc_name_is_valid(const char *name)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789._:+-";
	size_t length = strnlen(name, NAME_LENGTH_MAX + 1);

	return length && length <= NAME_LENGTH_MAX &&
	       strspn(name, allowed) == length;
}

static bool parse_port(const char *text, uint16_t *port)
{
	size_t length = strlen(text);
	uint32_t value = 0;

	if (!length || length > PORT_DIGITS_MAX ||
	    strspn(text, "0123456789") != length)
		return false;
	if (text[0] == '0' && length > 1)
		return false;
	for (; *text; text++)
		value = value * DECIMAL + (uint32_t)(*text - '0');
	*port = (uint16_t)value;
	return value <= PORT_MAX;
}

/* Returns whether @host is an IP address in the spelling of inet_ntop(). */
static bool is_canonical(int family, const char *host)
{
	unsigned char number[sizeof(struct in6_addr)];
	char printed[INET6_ADDRSTRLEN];

	return inet_pton(family, host, number) == 1 &&
	       inet_ntop(family, number, printed, sizeof(printed)) &&
	       !strcmp(host, printed);
}

static bool parse_address(const char *address, char *host, size_t host_size,
			  uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	bool v6 = address[0] == '[';
	size_t length;

	if (!colon)
		return false;
	length = (size_t)(colon - address);
	if (v6) {
		if (length < 2 || colon[-1] != ']')
			return false;
		address++;
		length -= 2;
	}
	if (length >= host_size)
		return false;
	memcpy(host, address, length);
	host[length] = '\0';
	return is_canonical(v6 ? AF_INET6 : AF_INET, host) &&
	       parse_port(colon + 1, port);
}

mc_err_t mc_address_split(const char *address, char *host, size_t host_size,
			  uint16_t *port)
{
	if (parse_address(address, host, host_size, port))
		return MC_OK;
	return mc_fail(MC_ERR_BAD_SETTINGS,
		       "expected IP:port such as 10.0.0.1:9000 or "
		       "[fd00::1]:9000, got \"%s\"",
		       address);
}
