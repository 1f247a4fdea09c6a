#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <err.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/*
 * A caller: sends one request and prints the status and body of the response,
 * or "000" if there was none.  usage: call METHOD IP:PORT PATH HOST [BODY]
 */

#define TIMEOUT_S 4
#define RESPONSE_MAX 65536

static int
dial(const char *address)
{
	struct timeval timeout = { TIMEOUT_S, 0 };
	struct sockaddr_in sin;
	char ip[64];
	const char *colon;
	int s;

	if ((colon = strrchr(address, ':')) == NULL)
		errx(2, "address");
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		errx(2, "address");
	if ((s = socket(AF_INET, SOCK_STREAM, 0)) == -1)
		err(2, "socket");
	setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(s, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(s, (struct sockaddr *)&sin, sizeof(sin)) == -1) {
		close(s);
		return -1;
	}
	return s;
}

/* The response has as many bytes of body as its head says. */
static bool
is_complete(const char *response)
{
	const char *body, *length;

	if ((body = strstr(response, "\r\n\r\n")) == NULL)
		return false;
	length = strcasestr(response, "\r\ncontent-length:");
	return length != NULL && length < body &&
	    strlen(body + 4) >= strtoul(length + 17, NULL, 10);
}

int
main(int argc, char *argv[])
{
	static char request[RESPONSE_MAX], response[RESPONSE_MAX + 1];
	const char *body, *text;
	size_t len;
	ssize_t n;
	int s;

	if (argc < 5)
		errx(2, "usage: call METHOD IP:PORT PATH HOST [BODY]");
	body = argc > 5 ? argv[5] : "";
	n = snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"
	    "X-Platform-Writer: 1\r\nContent-Length: %zu\r\n\r\n%s",
	    argv[1], argv[3], argv[4], strlen(body), body);
	if (n < 0 || (size_t)n >= sizeof(request))
		errx(2, "too long");
	len = 0;
	if ((s = dial(argv[2])) != -1 && write(s, request, (size_t)n) == n) {
		while (len < RESPONSE_MAX && !is_complete(response) &&
		    (n = read(s, response + len, RESPONSE_MAX - len)) > 0) {
			len += (size_t)n;
			response[len] = '\0';
		}
	}
	response[len] = '\0';
	text = strstr(response, "\r\n\r\n");
	if (text == NULL || strncmp(response, "HTTP/1.1 ", 9) != 0) {
		puts("000");
		return 1;
	}
	printf("%.3s %s\n", response + 9, text + 4);
	return 0;
}
