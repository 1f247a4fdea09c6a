#ifndef VMLIST_H
#define VMLIST_H

#include <stddef.h>

#include "fleet.h"

/* Parser of the platform's VM list, see docs/INTERFACES.md. */

enum vmlist_error {
	VMLIST_OK,
	VMLIST_ERR_JSON, /* not a JSON object with an array "vms" */
	VMLIST_ERR_FIELD, /* a field is missing or out of range */
	VMLIST_ERR_MEMORY
};

/* Position of the error, for the log. */
struct vmlist_fault {
	size_t index; /* of the VM in the list */
	char field[32]; /* "" if the error concerns the whole list */
};

/*
 * Parses a VM list.  One invalid VM rejects the whole list, since a partial
 * list would look like the loss of a rack.  The caller frees *infos.
 */
enum vmlist_error vmlist_parse(const char *text, size_t len,
    struct vm_info **infos, size_t *n, struct vmlist_fault *);

const char *vmlist_strerror(enum vmlist_error);

#endif /* VMLIST_H */
