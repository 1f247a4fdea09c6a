#include "echo.h"

struct echo_row
echo_send(const struct echo *echo, int64_t now_ms)
{
	struct echo_row row;

	row.sent = now_ms;
	row.returned = echo->stamp;
	row.held_ms = echo->stamp != 0 ? now_ms - echo->received_ms : 0;
	return row;
}

bool
echo_receive(struct echo *echo, const struct echo_row *row, int64_t opened_ms,
    int64_t now_ms, int64_t *sent_ms)
{
	echo->stamp = row->sent;
	echo->received_ms = now_ms;
	if (row->returned == 0 || row->returned < opened_ms ||
	    row->returned > now_ms || row->held_ms < 0 ||
	    row->held_ms > now_ms - row->returned)
		return false;
	*sent_ms = row->returned + row->held_ms;
	return true;
}
