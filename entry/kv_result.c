#include <string.h>

#include "seam.h"

const struct kv_item *
kv_result_item(const struct kv_result *result, const char *key)
{
	size_t i;

	for (i = 0; i < result->nitems; i++) {
		if (strcmp(result->items[i].key, key) == 0)
			return &result->items[i];
	}
	return NULL;
}
