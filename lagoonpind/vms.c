#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lagoonpind.h"
#include "log.h"
#include "refused.h"
#include "vmlist.h"

#define READ_TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 1000

/*
 * Reads the platform's VM list.  While it is unavailable the last list stays in
 * force: no VM counts as gone because the list can't be read.
 */
struct vms {
	struct httpc_call *call;
	int64_t next_ms;
	struct refused refused; /* VMs with a field that can't be used */
	char url[SETTING_IP_SIZE + 32];
};

static int vms_open(struct entry *);
static void vms_tick(struct entry *, int64_t);
static void vms_close(struct entry *);
static void on_list(const struct httpc_result *, void *);
static void apply_list(struct entry *, const char *, size_t);
static void on_change(struct vm *, enum fleet_change, void *);

const struct module vms_module = {
	.name = "vms",
	.open = vms_open,
	.tick = vms_tick,
	.close = vms_close,
};

static int
vms_open(struct entry *e)
{
	char address[SETTING_IP_SIZE + 16];
	struct fleet_options options = {
		.gone_after_ms = e->opt.vm_gone_ms,
		.on_change = on_change,
		.ctx = e,
	};

	if ((e->fleet = fleet_open(&options)) == NULL)
		return -1;
	if ((e->vms = calloc(1, sizeof(*e->vms))) == NULL)
		return -1;
	refused_init(&e->vms->refused, "lagoonpin_vm_refused");
	snprintf(e->vms->url, sizeof(e->vms->url), "http://%s/v1/vms",
	    settings_address_text(&e->opt.vm_list, address, sizeof(address)));
	return 0;
}

static void
vms_tick(struct entry *e, int64_t now_ms)
{
	struct httpc_request request = {
		.method = "GET",
		.url = e->vms->url,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.timeout_ms = READ_TIMEOUT_MS,
		.on_done = on_list,
		.ctx = e,
	};

	if (e->vms->call != NULL || now_ms < e->vms->next_ms)
		return;
	e->vms->next_ms = now_ms + e->opt.vm_list_ms;
	e->vms->call = httpc_start(e->worker_http, &request);
}

static void
vms_close(struct entry *e)
{
	if (e->vms != NULL && e->vms->call != NULL)
		httpc_cancel(e->vms->call);
	if (e->vms != NULL)
		refused_free(&e->vms->refused);
	free(e->vms);
	e->vms = NULL;
	fleet_close(e->fleet);
	e->fleet = NULL;
}

static void
on_list(const struct httpc_result *result, void *ctx)
{
	struct entry *e;

	e = ctx;
	e->vms->call = NULL;
	if (result->error == HTTPC_ERR_CANCELLED)
		return;
	if (result->error != HTTPC_OK || result->status != 200) {
		counter_inc_reason("lagoonpin_vm_list_errors", "unreachable");
		log_debug("vm_list_unreachable", "url=%s status=%d error=%d",
		    e->vms->url, result->status, (int)result->error);
		return;
	}
	apply_list(e, result->body, result->body_len);
}

static bool
is_refused(const struct fleet_list *list, const char *id)
{
	size_t i;

	for (i = 0; i < list->nrefused; i++) {
		if (strcmp(list->refused[i].id, id) == 0)
			return true;
	}
	return false;
}

/* Logs and counts VMs that can't be used, by id or by place in the list. */
static void
note_refused(struct refused *refused, const struct fleet_list *list)
{
	const struct fleet_refused *vm;
	char place[32];
	size_t i;

	for (i = 0; i < list->n && refused->n > 0; i++) {
		if (!is_refused(list, list->infos[i].id))
			refused_clear(refused, list->infos[i].id);
	}
	for (i = 0; i < list->nrefused; i++) {
		vm = &list->refused[i];
		snprintf(place, sizeof(place), "vms[%zu]", vm->index);
		refused_note(
		    refused, vm->id[0] != '\0' ? vm->id : place, vm->field);
	}
}

static void
apply_list(struct entry *e, const char *text, size_t len)
{
	enum vmlist_error error;
	struct fleet_list list;

	error = vmlist_parse(text, len, &list);
	if (error != VMLIST_OK) {
		counter_inc_reason("lagoonpin_vm_list_errors", "rubbish");
		log_warn("vm_list_refused", "reason=\"%s\" bytes=%zu",
		    vmlist_strerror(error), len);
		return;
	}
	note_refused(&e->vms->refused, &list);
	if (fleet_apply_list(e->fleet, &list, clock_now_ms()) == -1)
		log_error("vm_list_not_applied", "reason=\"out of memory\"");
	vmlist_free(&list);
}

static void
on_change(struct vm *vm, enum fleet_change change, void *ctx)
{
	struct entry *e;
	size_t i;

	e = ctx;
	log_info("vm_changed", "vm=%s state=%s change=%d", vm->info.id,
	    vm_state_name(vm->info.state), (int)change);
	for (i = 0; i < nmodules; i++) {
		if (modules[i]->vm_changed != NULL)
			modules[i]->vm_changed(e, vm, change);
	}
}
