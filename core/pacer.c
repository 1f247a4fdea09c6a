#include "pacer.h"

void
pacer_init(
    struct pacer *p, double bytes_per_s, int64_t burst_ms, int64_t now_ms)
{
	p->rate = bytes_per_s / 1000;
	p->burst = p->rate * (double)burst_ms;
	p->left = p->burst;
	p->at_ms = now_ms;
}

static void
refill(struct pacer *p, int64_t now_ms)
{
	if (now_ms <= p->at_ms)
		return;
	p->left += p->rate * (double)(now_ms - p->at_ms);
	if (p->left > p->burst)
		p->left = p->burst;
	p->at_ms = now_ms;
}

void
pacer_consume(struct pacer *p, double bytes, int64_t now_ms)
{
	refill(p, now_ms);
	p->left -= bytes;
}

double
pacer_available(struct pacer *p, int64_t now_ms)
{
	refill(p, now_ms);
	return p->left;
}

int64_t
pacer_wait_ms(struct pacer *p, int64_t now_ms)
{
	double left;

	left = pacer_available(p, now_ms);
	if (left >= 0)
		return 0;
	return 1 + (int64_t)(-left / p->rate);
}
