#ifndef KVS_INT_H
#define KVS_INT_H

#include <sys/queue.h>
#include <sys/tree.h>

#include "kvs.h"

/* What the files of the store share. */

/* One change of one key. */
struct kvs_version {
	TAILQ_ENTRY(kvs_version) link; /* of its node, newest first */
	TAILQ_ENTRY(kvs_version) in_log;
	struct kvs_node *node;
	struct kvs_kv kv;
};

struct kvs_node {
	RB_ENTRY(kvs_node) link;
	TAILQ_HEAD(kvs_versions, kvs_version) versions;
	struct kvs_bytes key;
};

RB_HEAD(kvs_node_tree, kvs_node);
TAILQ_HEAD(kvs_log, kvs_version);

struct kvs {
	struct kvs_options options;
	struct kvs_node_tree nodes;
	struct kvs_log log; /* from the oldest kept revision on */
	size_t log_len;
	size_t log_bytes;
	int64_t revision;
	int64_t compact_revision;
};

int kvs_compare_nodes(struct kvs_node *, struct kvs_node *);
RB_PROTOTYPE(kvs_node_tree, kvs_node, link, kvs_compare_nodes)

int kvs_compare_bytes(const struct kvs_bytes *, const struct kvs_bytes *);
/* The key as it is; NULL: it does not exist. */
const struct kvs_kv *kvs_current(const struct kvs *, const struct kvs_bytes *);
/* The key as it was at a revision; NULL: it did not exist. */
const struct kvs_kv *kvs_at_revision(const struct kvs_node *, int64_t);
/* A put, or without an op a deletion. */
enum kvs_error kvs_add_version(
    struct kvs *, const struct kvs_bytes *, const struct kvs_op *, int64_t);
void kvs_free_version(struct kvs_version *);
/* Forget a key without versions. */
void kvs_drop_if_empty(struct kvs *, struct kvs_node *);
/* kvs_history.c: keep the newer half once the history is over its bounds. */
void kvs_bound_history(struct kvs *);

#endif /* KVS_INT_H */
