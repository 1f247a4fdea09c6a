#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "base64.h"

/*
 * Client of the scripts.
 *
 *     call ports COUNT                  prints the first of so many free ports
 *     call METHOD ADDRESS PATH MS [BODY]    one request; prints "STATUS BODY"
 *     call config STORE TEXT            writes the operators' configuration
 *
 * The status is 000 if there is no whole answer within the time.
 */

#define HOST "jobs.example"
#define ANSWER_MAX ((size_t)1024 * 1024)

static int
open_socket(int port, int *listening)
{
	struct sockaddr_in sin;
	int fd;

	if ((fd = socket(AF_INET, SOCK_STREAM, 0)) == -1)
		err(2, "socket");
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)port);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	*listening = bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0;
	return fd;
}

static int
are_free(int first, int count)
{
	int fd, free_port, i;

	for (i = 0; i < count; i++) {
		fd = open_socket(first + i, &free_port);
		close(fd);
		if (!free_port)
			return 0;
	}
	return 1;
}

/* Below the range from which the system draws ports. */
static int
print_ports(int count)
{
	int first, i;

	first = 12000 + (int)(getpid() % 160) * 100;
	for (i = 0; i < 160; i++) {
		if (are_free(first, count)) {
			printf("%d\n", first);
			return 0;
		}
		first = first + 100 < 28000 ? first + 100 : 12000;
	}
	return 2;
}

static int
dial(const char *address, long ms)
{
	struct sockaddr_in sin;
	struct timeval tv;
	char ip[64], *colon;
	int fd;

	snprintf(ip, sizeof(ip), "%s", address);
	if ((colon = strrchr(ip, ':')) == NULL)
		errx(2, "%s: no port", address);
	*colon = '\0';
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		errx(2, "%s: no address", address);
	if ((fd = socket(AF_INET, SOCK_STREAM, 0)) == -1)
		err(2, "socket");
	tv.tv_sec = ms / 1000;
	tv.tv_usec = ms % 1000 * 1000;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Reads until the end of the connection; returns NULL without an answer. */
static char *
read_answer(int fd)
{
	size_t len, size;
	ssize_t n;
	char *text;

	size = ANSWER_MAX;
	if ((text = malloc(size + 1)) == NULL)
		err(2, "malloc");
	for (len = 0; len < size; len += (size_t)n) {
		if ((n = read(fd, text + len, size - len)) <= 0)
			break;
	}
	text[len] = '\0';
	if (strncmp(text, "HTTP/1.1 ", 9) == 0 &&
	    strstr(text, "\r\n\r\n") != NULL)
		return text;
	free(text);
	return NULL;
}

static int
request(const char *method, const char *address, const char *path, long ms,
    const char *body)
{
	char *answer, *text;
	int fd, n;

	n = asprintf(&text,
	    "%s %s HTTP/1.1\r\nHost: " HOST "\r\nX-Deadline-Ms: %ld\r\n"
	    "Content-Type: application/json\r\nX-Platform-Writer: 1\r\n"
	    "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
	    method, path, ms, strlen(body), body);
	if (n == -1)
		err(2, "asprintf");
	answer = NULL;
	fd = dial(address, ms + 500);
	if (fd != -1 && write(fd, text, (size_t)n) == n)
		answer = read_answer(fd);
	if (fd != -1)
		close(fd);
	free(text);
	if (answer == NULL)
		printf("000 \n");
	else
		printf("%.3s %s\n", answer + 9, strstr(answer, "\r\n\r\n") + 4);
	free(answer);
	return 0;
}

static int
write_config(const char *store, const char *config)
{
	char *body, *value;
	int n, status;

	if ((value = base64_encode(config, strlen(config))) == NULL)
		err(2, "base64");
	n = asprintf(&body,
	    "{\"precondition\":[],\"remove\":[],\"writes\":[{\"key\":"
	    "\"op/config\",\"value\":\"%s\",\"lease\":0}]}",
	    value);
	if (n == -1)
		err(2, "asprintf");
	status = request("POST", store, "/kv-txn", 2000, body);
	free(value);
	free(body);
	return status;
}

int
main(int argc, char **argv)
{
	if (argc == 3 && strcmp(argv[1], "ports") == 0)
		return print_ports((int)strtol(argv[2], NULL, 10));
	if (argc == 4 && strcmp(argv[1], "config") == 0)
		return write_config(argv[2], argv[3]);
	if (argc < 5)
		errx(2, "usage: call METHOD ADDRESS PATH MS [BODY]");
	return request(argv[1], argv[2], argv[3], strtol(argv[4], NULL, 10),
	    argc > 5 ? argv[5] : "");
}
