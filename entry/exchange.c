#include "counter.h"
#include "exchange.h"
#include "jsonfield.h"
#include "log.h"
#include "node_int.h"

struct exchange_id
exchange_next(struct node *node)
{
	struct exchange_id id;

	id.life = node->incarnation;
	id.number = ++node->next_request;
	return id;
}

void
exchange_put(json_t *message, const struct exchange_id *id)
{
	json_object_set_new(message, "request",
	    json_pack("[II]", (json_int_t)id->life, (json_int_t)id->number));
}

bool
exchange_get(const json_t *message, struct exchange_id *id)
{
	const json_t *list;
	int64_t life, number;

	list = json_object_get(message, "request");
	if (!json_to_int64(json_array_get(list, 0), 0, INT64_MAX, &life) ||
	    !json_to_int64(json_array_get(list, 1), 0, INT64_MAX, &number))
		return false;
	id->life = (uint64_t)life;
	id->number = (uint64_t)number;
	return true;
}

bool
exchange_equal(const struct exchange_id *a, const struct exchange_id *b)
{
	return a->life == b->life && a->number == b->number;
}

enum exchange_fault
exchange_check(
    const struct node *node, const json_t *answer, struct exchange_id *id)
{
	if (!exchange_get(answer, id))
		return EXCHANGE_UNNAMED;
	if (id->life != node->incarnation)
		return EXCHANGE_FORMER_LIFE;
	return id->number <= node->next_request ? EXCHANGE_OK : EXCHANGE_LATE;
}

static const char *
fault_name(enum exchange_fault fault)
{
	switch (fault) {
	case EXCHANGE_OK:
		break;
	case EXCHANGE_UNNAMED:
		return "unnamed";
	case EXCHANGE_FORMER_LIFE:
		return "former_life";
	case EXCHANGE_FORMER_LEADER:
		return "former_leader";
	case EXCHANGE_LATE:
		return "late";
	case EXCHANGE_DOUBLED:
		return "doubled";
	}
	return "none";
}

void
exchange_drop(const char *kind, enum exchange_fault fault)
{
	counter_inc_reason("lagoonpin_answer_dropped", fault_name(fault));
	log_info(
	    "answer_dropped", "kind=%s reason=%s", kind, fault_name(fault));
}
