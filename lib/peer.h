#ifndef PEER_H
#define PEER_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * Messages between entries: ZeroMQ on a libuv loop.  Each entry binds one PULL
 * socket and has one PUSH socket for each peer.  Messages are one-way and name
 * their sender, so no routing state has to survive a reconnect.  A message is
 * delivered at most once by this layer.
 */

struct peer;

enum peer_error {
	PEER_OK,
	PEER_ERR_MEMORY,
	PEER_ERR_ADDRESS, /* not an IPv4 address and port */
	PEER_ERR_BIND,
	PEER_ERR_SOCKET,
	PEER_ERR_UNKNOWN, /* no peer_connect() for this id */
	PEER_ERR_BUSY /* not connected or queue full: not sent */
};

typedef void peer_message(const void *data, size_t len, void *ctx);

struct peer_options {
	uv_loop_t *loop;
	const char *ip; /* IPv4 address */
	int port; /* 0: any free port */
	int heartbeat_ms; /* ZMTP heartbeats; 0: off */
	int heartbeat_timeout_ms; /* closes a connection silent for so long */
	int retransmit_ms; /* TCP retransmission timeout; 0: off */
	int keepalive_s; /* idle time before TCP keepalive; 0: off */
	int queue_max; /* messages per peer and direction */
	size_t message_max; /* bytes; a larger one closes the connection */
	peer_message *on_message;
	void *ctx;
};

/* On failure returns NULL and sets *error. */
struct peer *peer_open(const struct peer_options *, enum peer_error *error);
/*
 * Drops queued messages.  The loop must then run until the handles are closed.
 */
void peer_close(struct peer *);
int peer_port(const struct peer *);

/* Connect to IP:PORT; a known id with another address is reconnected. */
enum peer_error peer_connect(
    struct peer *, const char *id, const char *address);
void peer_disconnect(struct peer *, const char *id);

/*
 * Queue one message.  Nothing is queued for a peer that isn't connected: the
 * send fails and is counted in lagoonpin_peer_dropped{reason="..."}.
 */
enum peer_error peer_send(
    struct peer *, const char *id, const void *data, size_t len);

const char *peer_strerror(enum peer_error);

#endif /* PEER_H */
