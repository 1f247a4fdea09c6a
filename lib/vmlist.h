#ifndef VMLIST_H
#define VMLIST_H

#include <stddef.h>

#include "fleet.h"

/* Parser of the platform's VM list, see docs/INTERFACES.md. */

enum vmlist_error {
	VMLIST_OK,
	VMLIST_ERR_JSON, /* not a JSON object with an array "vms" */
	VMLIST_ERR_MEMORY
};

/*
 * Parses a VM list.  A VM with an invalid field is listed as refused, with its
 * id if that can be read, and doesn't affect the others.  On success the caller
 * frees the list with vmlist_free().
 */
enum vmlist_error vmlist_parse(
    const char *text, size_t len, struct fleet_list *);
void vmlist_free(struct fleet_list *);

const char *vmlist_strerror(enum vmlist_error);

#endif /* VMLIST_H */
