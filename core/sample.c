#include "sample.h"

static size_t gcd(size_t, size_t);

static size_t
gcd(size_t a, size_t b)
{
	size_t remainder;

	while (b != 0) {
		remainder = a % b;
		a = b;
		b = remainder;
	}
	return a;
}

void
sample_start(struct sample *s, size_t n, uint64_t random)
{
	s->n = n;
	s->left = n;
	s->at = 0;
	s->stride = 1;
	if (n < 2)
		return;
	s->at = (size_t)(random & UINT32_MAX) % n;
	s->stride = 1 + (size_t)(random >> 32) % (n - 1);
	while (gcd(s->stride, n) != 1)
		s->stride = s->stride + 1 < n ? s->stride + 1 : 1;
}

size_t
sample_next(struct sample *s)
{
	size_t at;

	if (s->left == 0)
		return s->n;
	s->left--;
	at = s->at;
	s->at = (s->at + s->stride) % s->n;
	return at;
}
