#ifndef FLEET_H
#define FLEET_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * The VMs according to the platform's list.  The list lags and may omit a live
 * VM once, so an absent VM counts as gone only after gone_after_ms of absence;
 * one that is listed as gone is gone at once.
 */

#define FLEET_ID_MAX 64
#define FLEET_IP_MAX 46
#define FLEET_SERVICES_MAX 8

enum vm_kind { VM_WORKER, VM_ENTRY };
enum vm_state { VM_LIVE, VM_LEAVING, VM_GONE };

/* A VM as listed. */
struct vm_info {
	char id[FLEET_ID_MAX];
	enum vm_kind kind;
	enum vm_state state;
	char ip[FLEET_IP_MAX];
	int control_port;
	int endpoint_port;
	char data_center[FLEET_ID_MAX];
	char rack[FLEET_ID_MAX];
	size_t nservices;
	char services[FLEET_SERVICES_MAX][FLEET_ID_MAX];
	int64_t cpu_millis;
	int64_t memory_mib;
	int64_t accelerators;
	int slots;
	int connections;
};

/* A VM that is listed with a field that can't be used. */
struct fleet_refused {
	size_t index; /* in the list, from 0 */
	char id[FLEET_ID_MAX]; /* "": can't be read */
	const char *field; /* static string */
};

/* One reading of the platform's list. */
struct fleet_list {
	struct vm_info *infos;
	size_t n;
	struct fleet_refused *refused;
	size_t nrefused;
};

struct fleet_shard;

struct vm {
	RB_ENTRY(vm) by_id;
	TAILQ_ENTRY(vm) link; /* in the list of all VMs */
	TAILQ_ENTRY(vm) shard_link; /* in the list of its shard's workers */
	struct vm_info info;
	struct fleet_shard *shard; /* NULL for entries */
	int64_t missing_since_ms; /* 0: listed */
	int64_t gone_ms; /* when its state became VM_GONE; 0: not gone */
	bool listed; /* in the list being applied */
};
TAILQ_HEAD(vm_list, vm);

/* The workers of one rack. */
struct fleet_shard {
	TAILQ_ENTRY(fleet_shard) link;
	char name[2 * FLEET_ID_MAX + 1]; /* DATA_CENTER "." RACK */
	struct vm_list workers;
	size_t nworkers; /* not gone */
	void *data; /* of the batch scheduler */
};
TAILQ_HEAD(fleet_shards, fleet_shard);

enum fleet_change { FLEET_ADDED, FLEET_STATE, FLEET_ADDRESS };

/* Called when a VM is new, or its state, address or capacity changed. */
typedef void fleet_changed(struct vm *, enum fleet_change, void *ctx);

struct fleet_options {
	int64_t gone_after_ms;
	fleet_changed *on_change;
	void *ctx;
};

struct fleet;

/* NULL: no memory. */
struct fleet *fleet_open(const struct fleet_options *);
void fleet_close(struct fleet *);

/*
 * Apply a complete list.  Returns 0, or -1 if there is no memory; part of the
 * list may then be applied.
 */
int fleet_apply(
    struct fleet *, const struct vm_info *, size_t n, int64_t now_ms);
/*
 * Same as fleet_apply().  A refused VM stays as it was last known.  A refused
 * one without an id may be any VM that isn't listed, so with such a one none
 * counts as absent.
 */
int fleet_apply_list(struct fleet *, const struct fleet_list *, int64_t now_ms);

/* Time since a list was last applied; -1: never. */
int64_t fleet_age_ms(const struct fleet *, int64_t now_ms);

/* NULL: not known. */
struct vm *fleet_find(struct fleet *, const char *id);
struct fleet_shard *fleet_find_shard(struct fleet *, const char *name);
struct vm_list *fleet_vms(struct fleet *);
struct fleet_shards *fleet_racks(struct fleet *);
bool vm_has_service(const struct vm *, const char *service);
const char *vm_state_name(enum vm_state);

#endif /* FLEET_H */
