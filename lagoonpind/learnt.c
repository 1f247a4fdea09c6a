#include "batch.h"
#include "callers.h"

/*
 * The batch module's measurements of each worker, including late ones and
 * those of all tenants, also serve the choice of endpoints.
 */

struct learn *
callers_learn(const struct entry *e)
{
	return e->batch->learn;
}

struct learn_worker *
callers_learnt(const struct entry *e, const char *worker)
{
	struct batch_worker *w;

	w = batch_worker_get(e->batch, worker);
	return w != NULL ? w->learn : NULL;
}
