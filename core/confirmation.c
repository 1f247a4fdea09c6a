#include "confirmation.h"

void
confirmation_note(struct confirmation *confirmation,
    enum confirmation_source source, int64_t at_ms)
{
	if (confirmation->by != CONFIRMED_BY_NOBODY &&
	    at_ms <= confirmation->at_ms)
		return;
	confirmation->at_ms = at_ms;
	confirmation->by = source;
}

int64_t
confirmation_age_ms(const struct confirmation *confirmation, int64_t now_ms)
{
	if (confirmation->by == CONFIRMED_BY_NOBODY)
		return -1;
	return now_ms - confirmation->at_ms;
}

bool
confirmation_is_fresh(
    const struct confirmation *confirmation, int64_t max_ms, int64_t now_ms)
{
	int64_t age_ms;

	age_ms = confirmation_age_ms(confirmation, now_ms);
	return age_ms >= 0 && age_ms <= max_ms;
}

const char *
confirmation_source_name(enum confirmation_source source)
{
	switch (source) {
	case CONFIRMED_BY_NOBODY:
		return "nobody";
	case CONFIRMED_BY_STORE:
		return "store";
	case CONFIRMED_BY_PEER:
		return "peer";
	}
	return "unknown";
}
