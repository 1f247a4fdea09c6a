#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "mesh.h"

/*
 * The registry: the key lp/w/entry/ID under a store lease.  An expired lease is
 * one source of evidence that an entry is dead.
 */

#define KEY_PREFIX "lp/w/entry/"
#define KEY_SIZE (sizeof(KEY_PREFIX) + MEMBER_ID_MAX)
#define SCHEMA 1
#define RETRY_MS 1000
#define RENEWALS_PER_LEASE 3

static void on_grant(const struct store_lease_result *, void *);
static void on_renew(const struct store_lease_result *, void *);
static void on_revoke(const struct store_lease_result *, void *);
static void grant_lease(struct mesh *);
static void renew_lease(struct mesh *);
static void put_key(struct mesh *);
static void on_put_done(const struct store_txn_result *, void *);
static void on_unexpected_key(struct mesh *, const struct store_kv *);
static char *own_value(const struct mesh *);
static bool parse_record(struct mesh *, const struct store_kv *,
    struct member_record *, char *, size_t);
static void on_put(const struct store_kv *, void *);
static void on_delete(const char *, int64_t, void *);
static void on_reload_begin(void *);
static void on_reload_end(int64_t, void *);
static bool is_own(const struct mesh *, const char *);
static void on_replaced(struct mesh *, uint64_t);

void
registry_open(struct mesh *mesh)
{
	struct watch_handler *watch;

	watch = &mesh->registry.watch;
	watch->prefix = KEY_PREFIX;
	watch->reload_begin = on_reload_begin;
	watch->on_put = on_put;
	watch->on_delete = on_delete;
	watch->reload_end = on_reload_end;
	watch->ctx = mesh;
	refused_init(&mesh->registry.refused, "lagoonpin_registry_refused");
	watch_register(mesh->entry, watch);
}

void
registry_tick(struct mesh *mesh, int64_t now_ms)
{
	struct registry *r;

	r = &mesh->registry;
	if (r->step == REGISTRY_BUSY || r->replaced || r->revoking ||
	    now_ms < r->next_ms)
		return;
	r->next_ms = now_ms + RETRY_MS;
	if (r->step == REGISTRY_NONE)
		grant_lease(mesh);
	else if (r->step == REGISTRY_LEASED)
		put_key(mesh);
	else
		renew_lease(mesh);
}

static void
grant_lease(struct mesh *mesh)
{
	struct entry *e;

	e = mesh->entry;
	if (store_lease_grant(
		e->store, e->opt.registry_ttl_s, on_grant, mesh) == STORE_OK)
		mesh->registry.step = REGISTRY_BUSY;
}

static void
on_grant(const struct store_lease_result *result, void *ctx)
{
	struct mesh *mesh = ctx;
	struct registry *r = &mesh->registry;

	r->step = REGISTRY_NONE;
	if (result->error != STORE_OK) {
		counter_inc_reason("lagoonpin_registry_failures",
		    store_strerror(result->error));
		return;
	}
	r->lease = result->lease;
	r->step = REGISTRY_LEASED;
	r->next_ms = 0;
}

static void
renew_lease(struct mesh *mesh)
{
	struct registry *r = &mesh->registry;
	struct entry *e = mesh->entry;

	r->next_ms =
	    clock_now_ms() + e->opt.registry_ttl_s * 1000 / RENEWALS_PER_LEASE;
	if (store_lease_keepalive(e->store, r->lease, on_renew, mesh) ==
	    STORE_OK)
		r->step = REGISTRY_BUSY;
}

static void
on_renew(const struct store_lease_result *result, void *ctx)
{
	struct mesh *mesh = ctx;
	struct registry *r = &mesh->registry;

	r->step = REGISTRY_WRITTEN;
	if (result->error == STORE_OK)
		return;
	counter_inc_reason(
	    "lagoonpin_registry_failures", store_strerror(result->error));
	r->next_ms = clock_now_ms() + RETRY_MS;
	if (result->error == STORE_ERR_NO_LEASE) {
		log_warn(
		    "registry_lease_lapsed", "lease=%lld", (long long)r->lease);
		r->step = REGISTRY_NONE;
		r->lease = 0;
		r->next_ms = 0;
	}
}

static char *
own_value(const struct mesh *mesh)
{
	const struct member_record *self;
	struct entry *e;
	char listen[MEMBER_ADDRESS_MAX];
	json_t *value;
	char *text;

	e = mesh->entry;
	self = member_self(mesh->members);
	snprintf(listen, sizeof(listen), "%s:%d", e->opt.listen.ip,
	    httpd_port(e->httpd));
	value = json_pack("{s:i, s:s, s:s, s:s, s:s, s:I}", "schema", SCHEMA,
	    "id", self->id, "peer", self->address, "data_center",
	    self->data_center, "listen", listen, "incarnation",
	    (json_int_t)self->incarnation);
	if (value == NULL)
		return NULL;
	text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	return text;
}

/*
 * The key is written only over what was last seen there: an entry that was
 * paused while its successor registered under the same id must not put its
 * own old incarnation back.
 */
static void
put_key(struct mesh *mesh)
{
	struct registry *r = &mesh->registry;
	struct store_compare compare;
	struct store_op write, read;
	struct store_txn_request txn;
	char key[KEY_SIZE], *value;

	if ((value = own_value(mesh)) == NULL)
		return;
	snprintf(key, sizeof(key), KEY_PREFIX "%s", mesh->entry->opt.id);
	memset(&compare, 0, sizeof(compare));
	compare.key = key;
	compare.target = STORE_MOD_REVISION;
	compare.relation = STORE_EQUAL;
	compare.number = r->key_revision;
	memset(&write, 0, sizeof(write));
	write.kind = STORE_PUT;
	write.key = key;
	write.value = value;
	write.len = strlen(value);
	write.lease = r->lease;
	memset(&read, 0, sizeof(read));
	read.kind = STORE_GET;
	read.key = key;
	memset(&txn, 0, sizeof(txn));
	txn.compares = &compare;
	txn.ncompares = 1;
	txn.success = &write;
	txn.nsuccess = 1;
	txn.failure = &read;
	txn.nfailure = 1;
	if (store_txn(mesh->entry->store, &txn, on_put_done, mesh) == STORE_OK)
		r->step = REGISTRY_BUSY;
	free(value);
}

static void
on_put_done(const struct store_txn_result *result, void *ctx)
{
	struct mesh *mesh = ctx;
	struct registry *r = &mesh->registry;

	r->step = REGISTRY_LEASED;
	if (result->error != STORE_OK) {
		counter_inc_reason("lagoonpin_registry_failures",
		    store_strerror(result->error));
		/* The lease may have expired meanwhile: start again. */
		if (result->error != STORE_ERR_UNAVAILABLE)
			r->step = REGISTRY_NONE;
		return;
	}
	if (result->succeeded) {
		r->key_revision = result->revision;
		r->step = REGISTRY_WRITTEN;
		r->next_ms = clock_now_ms() +
		    mesh->entry->opt.registry_ttl_s * 1000 / RENEWALS_PER_LEASE;
		log_info("registered", "lease=%lld", (long long)r->lease);
		return;
	}
	r->next_ms = 0;
	if (result->nops == 1 && result->ops[0].nkvs == 1)
		on_unexpected_key(mesh, &result->ops[0].kvs[0]);
	else
		r->key_revision = 0;
}

/*
 * The key isn't at the expected revision.  A later incarnation replaces this
 * entry; otherwise the next attempt compares with the revision found here.
 */
static void
on_unexpected_key(struct mesh *mesh, const struct store_kv *kv)
{
	struct registry *r = &mesh->registry;
	struct member_record record;
	char listen[MEMBER_ADDRESS_MAX];

	if (parse_record(mesh, kv, &record, listen, sizeof(listen)) &&
	    record.incarnation > mesh->entry->incarnation) {
		on_replaced(mesh, record.incarnation);
		return;
	}
	r->key_revision = kv->mod_revision;
}

static void
on_replaced(struct mesh *mesh, uint64_t incarnation)
{
	if (mesh->registry.replaced)
		return;
	mesh->registry.replaced = true;
	log_error("replaced", "incarnation=%llu by=%llu",
	    (unsigned long long)mesh->entry->incarnation,
	    (unsigned long long)incarnation);
	counter_inc("lagoonpin_registry_replaced", "");
	entry_drain(mesh->entry);
}

void
registry_leave(struct mesh *mesh)
{
	struct registry *r = &mesh->registry;

	if (r->revoking || r->replaced || r->lease == 0)
		return;
	r->revoking = store_lease_revoke(mesh->entry->store, r->lease,
			  on_revoke, mesh) == STORE_OK;
}

static void
on_revoke(const struct store_lease_result *result, void *ctx)
{
	struct mesh *mesh = ctx;

	if (result->error == STORE_OK)
		mesh->registry.lease = 0;
}

/* Logs and counts a record that can't be used. */
static bool
parse_record(struct mesh *mesh, const struct store_kv *kv,
    struct member_record *record, char *listen, size_t size)
{
	const char *field;

	field = registry_parse(kv->key + strlen(KEY_PREFIX), kv->value, kv->len,
	    record, listen, size);
	if (field == NULL) {
		refused_clear(&mesh->registry.refused, kv->key);
		return true;
	}
	refused_note(&mesh->registry.refused, kv->key, field);
	return false;
}

static bool
is_own(const struct mesh *mesh, const char *key)
{
	return strcmp(key + strlen(KEY_PREFIX), mesh->entry->opt.id) == 0;
}

static void
on_put(const struct store_kv *kv, void *ctx)
{
	struct mesh *mesh = ctx;
	struct member_record record;
	char listen[MEMBER_ADDRESS_MAX];

	if (!parse_record(mesh, kv, &record, listen, sizeof(listen)))
		return;
	if (is_own(mesh, kv->key)) {
		mesh->registry.key_revision = kv->mod_revision;
		if (record.incarnation > mesh->entry->incarnation)
			on_replaced(mesh, record.incarnation);
		return;
	}
	member_registry_update(mesh->members, &record, listen, clock_now_ms());
	if (peer_connect(mesh->peer, record.id, record.address) != PEER_OK)
		counter_inc_reason(
		    "lagoonpin_registry_failures", "bad_address");
}

/*
 * The key of this entry is deleted when its lease expires, as in an outage that
 * is longer than the lease.  Register again.
 */
static void
on_delete(const char *key, int64_t revision, void *ctx)
{
	struct mesh *mesh = ctx;
	struct registry *r = &mesh->registry;

	refused_clear(&r->refused, key);
	if (!is_own(mesh, key)) {
		member_registry_remove(
		    mesh->members, key + strlen(KEY_PREFIX), clock_now_ms());
		return;
	}
	if (revision < r->key_revision)
		return;
	r->key_revision = 0;
	if (r->step == REGISTRY_WRITTEN)
		r->step = REGISTRY_NONE;
	r->next_ms = 0;
}

static void
on_reload_begin(void *ctx)
{
	struct mesh *mesh = ctx;

	member_registry_begin(mesh->members);
}

static void
on_reload_end(int64_t revision, void *ctx)
{
	struct mesh *mesh = ctx;

	(void)revision;
	member_registry_loaded(mesh->members, clock_now_ms());
}
