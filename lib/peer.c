#include <sys/queue.h>

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "counter.h"
#include "peer.h"

#define ID_MAX 64
#define ADDRESS_MAX 64
#define URL_MAX (ADDRESS_MAX + sizeof("tcp://"))
#define READ_MAX 256 /* messages per loop iteration */
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 5000

struct link {
	LIST_ENTRY(link) entry;
	char id[ID_MAX];
	char address[ADDRESS_MAX];
	void *socket;
};
LIST_HEAD(links, link);

struct peer {
	struct peer_options options;
	struct links links;
	void *context;
	void *in;
	int port;
	int open_handles;
	uv_poll_t poll;
	uv_timer_t read_timer;
};

static int set_option(void *, int, int);
static int set_socket_options(const struct peer *, void *);
static enum peer_error check_address(const char *);
static enum peer_error bind_socket(struct peer *);
static enum peer_error poll_socket(struct peer *);
static void on_readable(uv_poll_t *, int, int);
static void on_read_timer(uv_timer_t *);
static void read_messages(struct peer *);
static void on_closed(uv_handle_t *);
static struct link *link_find(struct peer *, const char *);
static void link_free(struct link *);
static void free_peer(struct peer *);

static int
set_option(void *socket, int option, int value)
{
	return zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * TCP keepalive and ZMTP heartbeats close a connection whose peer disappeared
 * without closing it; otherwise messages would be sent on it until TCP times
 * out.
 */
static int
set_socket_options(const struct peer *p, void *socket)
{
	const struct peer_options *o = &p->options;
	int64_t message_max;

	message_max = (int64_t)o->message_max;
	if (set_option(socket, ZMQ_LINGER, 0) == -1 ||
	    set_option(socket, ZMQ_SNDHWM, o->queue_max) == -1 ||
	    set_option(socket, ZMQ_RCVHWM, o->queue_max) == -1 ||
	    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &message_max,
		sizeof(message_max)) == -1)
		return -1;
	if (o->keepalive_s > 0 &&
	    (set_option(socket, ZMQ_TCP_KEEPALIVE, 1) == -1 ||
		set_option(socket, ZMQ_TCP_KEEPALIVE_IDLE, o->keepalive_s) ==
		    -1))
		return -1;
	if (o->retransmit_ms > 0 &&
	    set_option(socket, ZMQ_TCP_MAXRT, o->retransmit_ms) == -1)
		return -1;
	if (o->heartbeat_ms > 0 &&
	    (set_option(socket, ZMQ_HEARTBEAT_IVL, o->heartbeat_ms) == -1 ||
		set_option(socket, ZMQ_HEARTBEAT_TIMEOUT,
		    o->heartbeat_timeout_ms) == -1))
		return -1;
	return 0;
}

static enum peer_error
check_address(const char *address)
{
	struct sockaddr_in sin;
	const char *colon, *errstr;
	char ip[ADDRESS_MAX];

	if ((colon = strrchr(address, ':')) == NULL ||
	    (size_t)(colon - address) >= sizeof(ip))
		return PEER_ERR_ADDRESS;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	strtonum(colon + 1, 1, 65535, &errstr);
	if (errstr != NULL || uv_ip4_addr(ip, 0, &sin) != 0)
		return PEER_ERR_ADDRESS;
	return PEER_OK;
}

static enum peer_error
bind_socket(struct peer *p)
{
	struct sockaddr_in sin;
	char url[URL_MAX + 16];
	size_t len;
	int n;

	if (uv_ip4_addr(p->options.ip, p->options.port, &sin) != 0)
		return PEER_ERR_ADDRESS;
	if ((p->in = zmq_socket(p->context, ZMQ_PULL)) == NULL ||
	    set_socket_options(p, p->in) == -1)
		return PEER_ERR_SOCKET;
	n = snprintf(
	    url, sizeof(url), "tcp://%s:%d", p->options.ip, p->options.port);
	if (n < 0 || (size_t)n >= sizeof(url))
		return PEER_ERR_ADDRESS;
	if (zmq_bind(p->in, url) == -1)
		return PEER_ERR_BIND;
	len = sizeof(url);
	if (zmq_getsockopt(p->in, ZMQ_LAST_ENDPOINT, url, &len) == -1)
		return PEER_ERR_SOCKET;
	p->port = (int)strtonum(strrchr(url, ':') + 1, 1, 65535, NULL);
	return PEER_OK;
}

static enum peer_error
poll_socket(struct peer *p)
{
	size_t len;
	int fd;

	len = sizeof(fd);
	if (zmq_getsockopt(p->in, ZMQ_FD, &fd, &len) == -1 ||
	    uv_poll_init(p->options.loop, &p->poll, fd) != 0)
		return PEER_ERR_SOCKET;
	p->poll.data = p;
	p->open_handles++;
	uv_timer_init(p->options.loop, &p->read_timer);
	p->read_timer.data = p;
	p->open_handles++;
	if (uv_poll_start(&p->poll, UV_READABLE, on_readable) != 0)
		return PEER_ERR_SOCKET;
	/* Messages received before the poll started cause no further event. */
	uv_timer_start(&p->read_timer, on_read_timer, 0, 0);
	return PEER_OK;
}

struct peer *
peer_open(const struct peer_options *options, enum peer_error *error)
{
	struct peer *p;

	*error = PEER_ERR_MEMORY;
	if ((p = calloc(1, sizeof(*p))) == NULL)
		return NULL;
	p->options = *options;
	LIST_INIT(&p->links);
	if ((p->context = zmq_ctx_new()) == NULL)
		goto fail;
	if ((*error = bind_socket(p)) != PEER_OK)
		goto fail;
	if ((*error = poll_socket(p)) != PEER_OK)
		goto fail;
	return p;

fail:
	peer_close(p);
	return NULL;
}

static void
on_readable(uv_poll_t *poll, int status, int events)
{
	(void)status;
	(void)events;
	read_messages(poll->data);
}

static void
on_read_timer(uv_timer_t *timer)
{
	read_messages(timer->data);
}

/*
 * The descriptor is edge-triggered: unread messages cause no further event and
 * would wait until the next one arrives.  So this reads until none is left, or
 * for READ_MAX messages and again in the next loop iteration.
 */
static void
read_messages(struct peer *p)
{
	zmq_msg_t message;
	int i;

	for (i = 0; i < READ_MAX; i++) {
		zmq_msg_init(&message);
		if (zmq_msg_recv(&message, p->in, ZMQ_DONTWAIT) == -1) {
			zmq_msg_close(&message);
			if (errno == EINTR)
				continue;
			return;
		}
		/* Entries send single-part messages only. */
		if (zmq_msg_more(&message))
			counter_inc_reason(
			    "lagoonpin_peer_refused", "multipart");
		else
			p->options.on_message(zmq_msg_data(&message),
			    zmq_msg_size(&message), p->options.ctx);
		zmq_msg_close(&message);
		if (uv_is_closing((uv_handle_t *)&p->poll))
			return;
	}
	uv_timer_start(&p->read_timer, on_read_timer, 0, 0);
}

static void
on_closed(uv_handle_t *handle)
{
	struct peer *p = handle->data;

	if (--p->open_handles == 0)
		free_peer(p);
}

static void
free_peer(struct peer *p)
{
	struct link *link, *next;

	for (link = LIST_FIRST(&p->links); link != NULL; link = next) {
		next = LIST_NEXT(link, entry);
		link_free(link);
	}
	if (p->in != NULL)
		zmq_close(p->in);
	if (p->context != NULL)
		zmq_ctx_term(p->context);
	free(p);
}

/* ZeroMQ owns the descriptor: the poll must end before the socket closes. */
void
peer_close(struct peer *p)
{
	if (p == NULL)
		return;
	if (p->open_handles == 0) {
		free_peer(p);
		return;
	}
	uv_close((uv_handle_t *)&p->poll, on_closed);
	if (p->open_handles > 1)
		uv_close((uv_handle_t *)&p->read_timer, on_closed);
}

int
peer_port(const struct peer *p)
{
	return p->port;
}

static struct link *
link_find(struct peer *p, const char *id)
{
	struct link *link;

	LIST_FOREACH (link, &p->links, entry) {
		if (strcmp(link->id, id) == 0)
			return link;
	}
	return NULL;
}

static void
link_free(struct link *link)
{
	LIST_REMOVE(link, entry);
	zmq_close(link->socket);
	free(link);
}

enum peer_error
peer_connect(struct peer *p, const char *id, const char *address)
{
	struct link *link;
	char url[URL_MAX];

	if (check_address(address) != PEER_OK || strlen(id) >= ID_MAX)
		return PEER_ERR_ADDRESS;
	if ((link = link_find(p, id)) != NULL) {
		if (strcmp(link->address, address) == 0)
			return PEER_OK;
		link_free(link);
	}
	if ((link = calloc(1, sizeof(*link))) == NULL)
		return PEER_ERR_MEMORY;
	strlcpy(link->id, id, sizeof(link->id));
	strlcpy(link->address, address, sizeof(link->address));
	snprintf(url, sizeof(url), "tcp://%s", address);
	if ((link->socket = zmq_socket(p->context, ZMQ_PUSH)) == NULL)
		goto fail;
	/* With IMMEDIATE nothing is queued for a peer that isn't connected. */
	if (set_socket_options(p, link->socket) == -1 ||
	    set_option(link->socket, ZMQ_IMMEDIATE, 1) == -1 ||
	    set_option(link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS) == -1 ||
	    set_option(link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) ==
		-1 ||
	    zmq_connect(link->socket, url) == -1)
		goto fail;
	LIST_INSERT_HEAD(&p->links, link, entry);
	return PEER_OK;

fail:
	if (link->socket != NULL)
		zmq_close(link->socket);
	free(link);
	return PEER_ERR_SOCKET;
}

void
peer_disconnect(struct peer *p, const char *id)
{
	struct link *link;

	if ((link = link_find(p, id)) != NULL)
		link_free(link);
}

enum peer_error
peer_send(struct peer *p, const char *id, const void *data, size_t len)
{
	struct link *link;

	if ((link = link_find(p, id)) == NULL) {
		counter_inc_reason("lagoonpin_peer_dropped", "unknown_peer");
		return PEER_ERR_UNKNOWN;
	}
	if (zmq_send(link->socket, data, len, ZMQ_DONTWAIT) == -1) {
		counter_inc_reason(
		    "lagoonpin_peer_dropped", "peer_away_or_full");
		return PEER_ERR_BUSY;
	}
	return PEER_OK;
}

const char *
peer_strerror(enum peer_error error)
{
	static const char *const names[] = { "ok", "no_memory", "bad_address",
		"bind_failed", "socket_failed", "unknown_peer",
		"peer_away_or_full" };

	if ((size_t)error >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[error];
}
