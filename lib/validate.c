#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "validate.h"

#define IP_MAX 64
#define PORT_MAX 65535

static bool
is_control(char c)
{
	unsigned char byte;

	byte = (unsigned char)c;
	return byte < ' ' || byte == 0x7f;
}

static bool
is_token_char(char c)
{
	return c > ' ' && c <= '~' && c != '"' && c != '\\';
}

bool
valid_token(const char *text, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (i + 1 >= size || !is_token_char(text[i]))
			return false;
	}
	return i > 0;
}

bool
valid_name(const char *text, size_t size)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++) {
		if (i + 1 >= size || is_control(text[i]))
			return false;
	}
	return i > 0;
}

bool
valid_ip(const char *text)
{
	struct sockaddr_in6 sin6;
	struct sockaddr_in sin;

	return uv_ip4_addr(text, 0, &sin) == 0 ||
	    uv_ip6_addr(text, 0, &sin6) == 0;
}

static bool
is_port(const char *text)
{
	const char *errstr;

	/* strtonum() also takes blanks and signs. */
	if (strspn(text, "0123456789") != strlen(text))
		return false;
	strtonum(text, 1, PORT_MAX, &errstr);
	return errstr == NULL;
}

bool
valid_address(const char *text, size_t size)
{
	struct sockaddr_in6 sin6;
	struct sockaddr_in sin;
	const char *colon;
	char ip[IP_MAX];
	size_t len;

	if (!valid_token(text, size) || (colon = strrchr(text, ':')) == NULL ||
	    !is_port(colon + 1))
		return false;
	len = (size_t)(colon - text);
	if (len == 0 || len >= sizeof(ip))
		return false;
	memcpy(ip, text, len);
	ip[len] = '\0';
	if (ip[0] != '[')
		return uv_ip4_addr(ip, 0, &sin) == 0;
	if (ip[len - 1] != ']')
		return false;
	ip[len - 1] = '\0';
	return uv_ip6_addr(ip + 1, 0, &sin6) == 0;
}
