#ifndef VMS_H
#define VMS_H

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/*
 * The list of VMs as readers see it: each change shows only after a lag.
 * No I/O; the time is passed in.
 */

struct vms;

enum vms_error {
	VMS_OK,
	VMS_ERR_FORMAT, /* not an object, or a field of the wrong type */
	VMS_ERR_UNKNOWN, /* a change to a VM that isn't on the list */
	VMS_ERR_MEMORY
};

/* NULL without memory. */
struct vms *vms_open(int64_t lag_ms);
void vms_close(struct vms *);
void vms_set_lag(struct vms *, int64_t lag_ms);

/* Replace the list; vms is an array of VMs or {"vms":[...]}. */
enum vms_error vms_replace(struct vms *, const json_t *vms, int64_t now_ms);
/*
 * Change fields of one VM.  A VM that isn't on the list yet is added when
 * the fields hold its kind.
 */
enum vms_error vms_change(
    struct vms *, const char *id, const json_t *fields, int64_t now_ms);
/* {"vms":[...]} as it was lag_ms ago; the caller drops the reference. */
json_t *vms_list(struct vms *, int64_t now_ms);

const char *vms_strerror(enum vms_error);

#endif /* VMS_H */
