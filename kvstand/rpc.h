#ifndef RPC_H
#define RPC_H

#include <stdint.h>

#include <jansson.h>

#include "kvs.h"
#include "lease.h"

/*
 * The calls of the gateway but for watches: a request's body in, the answer's
 * status and body out.
 */

enum rpc_call {
	RPC_RANGE,
	RPC_TXN,
	RPC_COMPACT,
	RPC_LEASE_GRANT,
	RPC_LEASE_KEEPALIVE,
	RPC_LEASE_REVOKE,
	RPC_WATCH,
	RPC_CALLS
};

/* RPC_CALLS: no such path. */
enum rpc_call rpc_find(const char *path);
const char *rpc_name(enum rpc_call);

struct rpc {
	struct kvs *kvs;
	struct leases *leases;
};

struct rpc_answer {
	int status;
	char *body; /* freed by the caller; NULL: no memory */
};

/* The call of a whole body; the answer is an error if it is malformed. */
void rpc_run(struct rpc *, enum rpc_call, const char *body, size_t len,
    int64_t now_ms, struct rpc_answer *);
/* Whether the call would change something. */
bool rpc_is_write(enum rpc_call, const char *body, size_t len);

/* An error in the gateway's form. */
char *rpc_error(int code, const char *message);
char *rpc_kvs_error(enum kvs_error, int *status);

#define RPC_CODE_INVALID 3
#define RPC_CODE_UNAVAILABLE 14

#endif /* RPC_H */
