#include <stdlib.h>
#include <string.h>

#include "decimal.h"
#include "rpc.h"
#include "wire.h"

#define CODE_NOT_FOUND 5
#define CODE_OUT_OF_RANGE 11
#define CODE_INTERNAL 13

static json_t *run_range(struct rpc *, const json_t *, struct rpc_answer *);
static json_t *run_txn(struct rpc *, const json_t *, struct rpc_answer *);
static json_t *run_compact(struct rpc *, const json_t *, struct rpc_answer *);
static json_t *run_grant(
    struct rpc *, const json_t *, int64_t, struct rpc_answer *);
static json_t *run_keepalive(struct rpc *, const json_t *, int64_t);
static json_t *run_revoke(struct rpc *, const json_t *, struct rpc_answer *);
static void fail_wire(enum wire_error, struct rpc_answer *);
static void fail_kvs(enum kvs_error, struct rpc_answer *);
static bool writes(const struct kvs_op *, size_t);

static const struct {
	const char *path;
	const char *name;
} calls[RPC_CALLS] = {
	{ "/v3/kv/range", "range" },
	{ "/v3/kv/txn", "txn" },
	{ "/v3/kv/compaction", "compaction" },
	{ "/v3/lease/grant", "lease_grant" },
	{ "/v3/lease/keepalive", "lease_keepalive" },
	{ "/v3/lease/revoke", "lease_revoke" },
	{ "/v3/watch", "watch" },
};

enum rpc_call
rpc_find(const char *path)
{
	int i;

	for (i = 0; i < RPC_CALLS; i++) {
		if (strcmp(path, calls[i].path) == 0)
			break;
	}
	return (enum rpc_call)i;
}

const char *
rpc_name(enum rpc_call call)
{
	return calls[call].name;
}

char *
rpc_error(int code, const char *message)
{
	json_t *o;
	char *text;

	o = json_pack("{s:s,s:s,s:i}", "error", message, "message", message,
	    "code", code);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	return text;
}

char *
rpc_kvs_error(enum kvs_error error, int *status)
{
	int code;

	code = RPC_CODE_INVALID;
	*status = 400;
	if (error == KVS_ERR_COMPACTED || error == KVS_ERR_FUTURE)
		code = CODE_OUT_OF_RANGE;
	if (error == KVS_ERR_NO_LEASE) {
		code = CODE_NOT_FOUND;
		*status = 404;
	}
	if (error == KVS_ERR_MEMORY) {
		code = CODE_INTERNAL;
		*status = 500;
	}
	return rpc_error(code, kvs_strerror(error));
}

static void
fail_kvs(enum kvs_error error, struct rpc_answer *answer)
{
	answer->body = rpc_kvs_error(error, &answer->status);
}

static void
fail_wire(enum wire_error error, struct rpc_answer *answer)
{
	if (error == WIRE_ERR_MEMORY) {
		fail_kvs(KVS_ERR_MEMORY, answer);
		return;
	}
	answer->status = 400;
	answer->body = rpc_error(RPC_CODE_INVALID, "malformed request");
}

static json_t *
run_range(struct rpc *s, const json_t *o, struct rpc_answer *answer)
{
	struct wire_pool pool;
	struct wire_range range;
	struct kvs_list list;
	enum wire_error wire;
	enum kvs_error error;
	json_t *result;

	memset(&pool, 0, sizeof(pool));
	result = NULL;
	if ((wire = wire_range(o, &pool, &range)) != WIRE_OK)
		fail_wire(wire, answer);
	else if ((error = kvs_range(s->kvs, &range.span, range.revision,
		      range.limit, &list)) != KVS_OK)
		fail_kvs(error, answer);
	else {
		result = wire_list(&list, kvs_revision(s->kvs), range.keys_only,
		    range.count_only);
		kvs_list_free(&list);
	}
	wire_pool_free(&pool);
	return result;
}

static json_t *
run_txn(struct rpc *s, const json_t *o, struct rpc_answer *answer)
{
	struct wire_pool pool;
	struct kvs_request txn;
	enum wire_error wire;
	enum kvs_error error;
	json_t *result;

	memset(&pool, 0, sizeof(pool));
	result = NULL;
	if ((wire = wire_txn(o, &pool, &txn)) != WIRE_OK)
		fail_wire(wire, answer);
	else if ((error = kvs_txn(s->kvs, &txn)) != KVS_OK)
		fail_kvs(error, answer);
	else
		result = wire_txn_answer(&txn, kvs_revision(s->kvs));
	wire_txn_free(&txn);
	wire_pool_free(&pool);
	return result;
}

static json_t *
run_compact(struct rpc *s, const json_t *o, struct rpc_answer *answer)
{
	enum kvs_error error;

	error = kvs_compact(s->kvs, decimal_member(o, "revision"));
	if (error != KVS_OK) {
		fail_kvs(error, answer);
		return NULL;
	}
	return json_pack("{s:o}", "header", wire_header(kvs_revision(s->kvs)));
}

static json_t *
run_grant(
    struct rpc *s, const json_t *o, int64_t now_ms, struct rpc_answer *answer)
{
	int64_t id, ttl_s;

	if ((ttl_s = decimal_member(o, "TTL")) <= 0) {
		answer->status = 400;
		answer->body = rpc_error(RPC_CODE_INVALID, "TTL: want > 0");
		return NULL;
	}
	if ((id = lease_grant(s->leases, ttl_s, now_ms)) == 0) {
		fail_kvs(KVS_ERR_MEMORY, answer);
		return NULL;
	}
	return json_pack("{s:o,s:o,s:o}", "header",
	    wire_header(kvs_revision(s->kvs)), "ID", wire_int(id), "TTL",
	    wire_int(ttl_s));
}

/* A lease that is gone is told by a time to live that is left out. */
static json_t *
run_keepalive(struct rpc *s, const json_t *o, int64_t now_ms)
{
	int64_t id, ttl_s;
	json_t *result;

	id = decimal_member(o, "ID");
	ttl_s = lease_keepalive(s->leases, id, now_ms);
	result = json_pack("{s:o,s:o}", "header",
	    wire_header(kvs_revision(s->kvs)), "ID", wire_int(id));
	if (ttl_s > 0)
		json_object_set_new(result, "TTL", wire_int(ttl_s));
	return json_pack("{s:o}", "result", result);
}

static json_t *
run_revoke(struct rpc *s, const json_t *o, struct rpc_answer *answer)
{
	if (!lease_revoke(s->leases, decimal_member(o, "ID"))) {
		fail_kvs(KVS_ERR_NO_LEASE, answer);
		return NULL;
	}
	return json_pack("{s:o}", "header", wire_header(kvs_revision(s->kvs)));
}

void
rpc_run(struct rpc *s, enum rpc_call call, const char *body, size_t len,
    int64_t now_ms, struct rpc_answer *answer)
{
	json_t *o, *result;

	answer->status = 200;
	answer->body = NULL;
	result = NULL;
	if ((o = json_loadb(body, len, 0, NULL)) == NULL) {
		fail_wire(WIRE_ERR_SYNTAX, answer);
		return;
	}
	switch (call) {
	case RPC_RANGE:
		result = run_range(s, o, answer);
		break;
	case RPC_TXN:
		result = run_txn(s, o, answer);
		break;
	case RPC_COMPACT:
		result = run_compact(s, o, answer);
		break;
	case RPC_LEASE_GRANT:
		result = run_grant(s, o, now_ms, answer);
		break;
	case RPC_LEASE_KEEPALIVE:
		result = run_keepalive(s, o, now_ms);
		break;
	case RPC_LEASE_REVOKE:
		result = run_revoke(s, o, answer);
		break;
	case RPC_WATCH:
	case RPC_CALLS:
		break;
	}
	if (result != NULL)
		answer->body = json_dumps(result, JSON_COMPACT);
	json_decref(result);
	json_decref(o);
}

static bool
writes(const struct kvs_op *ops, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (ops[i].kind != KVS_RANGE)
			return true;
	}
	return false;
}

bool
rpc_is_write(enum rpc_call call, const char *body, size_t len)
{
	struct wire_pool pool;
	struct kvs_request txn;
	json_t *o;
	bool write;

	if (call == RPC_LEASE_GRANT || call == RPC_LEASE_REVOKE ||
	    call == RPC_COMPACT)
		return true;
	if (call != RPC_TXN)
		return false;
	memset(&pool, 0, sizeof(pool));
	o = json_loadb(body, len, 0, NULL);
	write = wire_txn(o, &pool, &txn) == WIRE_OK &&
	    (writes(txn.success, txn.nsuccess) ||
		writes(txn.failure, txn.nfailure));
	wire_txn_free(&txn);
	wire_pool_free(&pool);
	json_decref(o);
	return write;
}
