#include <math.h>
#include <string.h>

#include "learnimpl.h"

/*
 * Slowdown of one kind by another: a Kalman filter without covariances (only a
 * variance per weight) on the logarithm of the measurements.
 */

#define NOISE_VAR 0.04 /* of ln(measured): a deviation of about 20 percent */
#define BASE_VAR 0.25 /* of a base after its first measurement */
#define ERROR_MAX 1.0 /* limits the effect of one outlier, in ln(measured) */
#define OFFSET_STEP 0.05 /* fraction of the residual */
#define OFFSET_MAX 0.7 /* in ln(measured) */
#define CACHE_MS 1000
#define RUNS_MIN 3 /* tasks of a job before they update the weights */
#define RUNS_MAX 20 /* tasks in the mean run time of a job */
#define AVOIDANCE_EXPONENT 3.0 /* calls fall as 1 / slowdown to this power */

struct learn_fit {
	struct learn_weight weights[LEARN_KINDS_MAX]; /* decayed to now */
	double cpus[LEARN_KINDS_MAX];
	double sum; /* ln(slowdown) predicted */
	double variance; /* of the prediction */
};

static void predict(const struct learn *, int, int64_t, struct learn_fit *);
static double update_weights(
    struct learn *, int, double, int64_t, struct learn_fit *, double);
static double slowdown_now(const struct learn_worker *, int, uint64_t, int64_t);

struct learn_weight
learn_pair_now(const struct learn *l, int victim, int cause, int64_t now_ms)
{
	struct learn_weight w;
	double decay, prior_var;

	w = l->pairs[victim][cause];
	prior_var = l->o.prior_sd * l->o.prior_sd;
	if (w.at_ms == 0) {
		w.mean = l->o.prior_weight;
		w.var = prior_var;
		return w;
	}
	decay = learn_decay(now_ms - w.at_ms, l->o.half_life_ms);
	w.mean = l->o.prior_weight + (w.mean - l->o.prior_weight) * decay;
	w.var = prior_var - (prior_var - w.var) * decay;
	return w;
}

double
learn_pair(
    const struct learn *l, int victim, int cause, int64_t now_ms, double *sd)
{
	struct learn_weight w;

	w = learn_pair_now(l, victim, cause, now_ms);
	if (sd != NULL)
		*sd = sqrt(w.var);
	return w.mean;
}

static void
predict(const struct learn *l, int victim, int64_t now_ms, struct learn_fit *f)
{
	int k;

	f->sum = 0;
	f->variance = NOISE_VAR;
	for (k = 0; k < l->nkinds; k++) {
		if (f->cpus[k] <= 0)
			continue;
		f->weights[k] = learn_pair_now(l, victim, k, now_ms);
		f->sum += f->weights[k].mean * f->cpus[k];
		f->variance += f->weights[k].var * f->cpus[k] * f->cpus[k];
	}
}

/*
 * Update the filter with y = ln(measured) of a victim, given the processors of
 * each kind that shared the VM in f->cpus.  Returns the residual, scaled by
 * the fraction of the variance that is noise; 0 for the first measurement.
 */
static double
update_weights(struct learn *l, int victim, double y, int64_t now_ms,
    struct learn_fit *f, double offset)
{
	struct learn_kind *v;
	struct learn_weight *w;
	double error, gain;
	int k;

	v = &l->kinds[victim];
	predict(l, victim, now_ms, f);
	if (!v->base_known) {
		v->base.mean = y - f->sum;
		v->base.var = BASE_VAR;
		v->base_known = 1;
		return 0;
	}
	f->variance += v->base.var;
	error = y - v->base.mean - offset - f->sum;
	if (fabs(error) > ERROR_MAX)
		error = copysign(ERROR_MAX, error);
	for (k = 0; k < l->nkinds; k++) {
		if (f->cpus[k] <= 0)
			continue;
		gain = f->weights[k].var * f->cpus[k] / f->variance;
		w = &l->pairs[victim][k];
		w->mean = fmax(0, f->weights[k].mean + gain * error);
		w->var = f->weights[k].var * (1 - gain * f->cpus[k]);
		w->at_ms = now_ms > 0 ? now_ms : 1;
	}
	gain = v->base.var / f->variance;
	v->base.mean += gain * error;
	v->base.var = fmax(v->base.var * (1 - gain), NOISE_VAR / 100);
	return error * NOISE_VAR / f->variance;
}

void
learn_service_p99(struct learn_worker *w, int kind, double p99_ms,
    int64_t measured_ms, int64_t window_ms)
{
	struct learn_service *s;
	struct learn_fit f;
	double residual, offset;

	if (p99_ms <= 0 || (s = learn_service_get(w, kind)) == NULL)
		return;
	/*
	 * Tenants that share the VM now may have started after the measurement.
	 * Attributing it to them would evict the wrong tasks and spare the
	 * cause.
	 */
	learn_shared_cpus(w, 0, measured_ms - window_ms, measured_ms, f.cpus);
	f.cpus[kind] = 0;
	residual = update_weights(
	    w->learn, kind, log(p99_ms), measured_ms, &f, s->offset);
	offset = s->offset + OFFSET_STEP * residual;
	s->offset = fmax(-OFFSET_MAX, fmin(OFFSET_MAX, offset));
}

void
learn_task_time(struct learn_worker *w, struct learn_job *job, uint64_t tenant,
    int kind, int64_t elapsed_ms, int64_t declared_ms, int64_t ended_ms)
{
	struct learn_fit f;
	double y;

	if (elapsed_ms <= 0 || declared_ms <= 0)
		return;
	learn_shared_cpus(w, tenant, ended_ms - elapsed_ms, ended_ms, f.cpus);
	predict(w->learn, kind, ended_ms, &f);
	y = log((double)elapsed_ms / (double)declared_ms);
	if (job->run.count >= RUNS_MIN)
		(void)update_weights(
		    w->learn, kind, y - job->run.mean, ended_ms, &f, 0);
	job->run.count = fmin(job->run.count + 1, RUNS_MAX);
	job->run.mean += (y - f.sum - job->run.mean) / job->run.count;
}

static double
slowdown_now(
    const struct learn_worker *w, int victim, uint64_t excluded, int64_t now_ms)
{
	const struct learn_tenant *t;
	double sum;
	int i;

	sum = 0;
	for (i = 0; i < w->ntenants; i++) {
		t = &w->tenants[i];
		if (t->to_ms != INT64_MAX || t->tenant == excluded ||
		    (t->kind == victim && w->learn->kinds[victim].service))
			continue;
		sum += learn_pair_now(w->learn, victim, t->kind, now_ms).mean *
		    (double)t->cpu_millis / MILLIS_PER_PROCESSOR;
	}
	return sum;
}

double
learn_slowdown(
    struct learn_worker *w, int kind, uint64_t tenant, int64_t now_ms)
{
	struct learn_service *s;
	int i;

	s = NULL;
	for (i = 0; i < w->nservices && tenant == 0; i++) {
		if (w->services[i].kind == kind)
			s = &w->services[i];
	}
	if (s == NULL)
		return exp(slowdown_now(w, kind, tenant, now_ms));
	if (s->cached_version != w->version || s->cached_ms == 0 ||
	    now_ms - s->cached_ms >= CACHE_MS) {
		s->cached = slowdown_now(w, kind, tenant, now_ms);
		s->cached_version = w->version;
		s->cached_ms = now_ms;
	}
	return exp(s->cached);
}

double
learn_contribution(struct learn_worker *w, int victim, int cause,
    int64_t cpu_millis, int64_t now_ms)
{
	return learn_pair_now(w->learn, victim, cause, now_ms).mean *
	    (double)cpu_millis / MILLIS_PER_PROCESSOR;
}

void
learn_impact_of(struct learn_worker *w, int kind, int64_t cpu_millis,
    int64_t now_ms, struct learn_impact *impact)
{
	const struct learn *l;
	const struct learn_tenant *t;
	struct learn_weight on, by;
	double cpus;
	int i, seen, unseen;

	l = w->learn;
	memset(impact, 0, sizeof(*impact));
	cpus = (double)cpu_millis / MILLIS_PER_PROCESSOR;
	seen = unseen = 0;
	for (i = 0; i < w->ntenants; i++) {
		t = &w->tenants[i];
		if (t->to_ms != INT64_MAX)
			continue;
		on = learn_pair_now(l, t->kind, kind, now_ms);
		by = learn_pair_now(l, kind, t->kind, now_ms);
		if (l->kinds[t->kind].service)
			impact->services += on.mean * cpus *
			    pow(learn_slowdown(w, t->kind, 0, now_ms),
				-AVOIDANCE_EXPONENT);
		else
			impact->tasks += on.mean * cpus;
		impact->tasks +=
		    by.mean * (double)t->cpu_millis / MILLIS_PER_PROCESSOR;
		if (on.var > l->o.prior_sd * l->o.prior_sd / 2)
			unseen++;
		else
			seen++;
	}
	if (seen + unseen > 0)
		impact->unknown = (double)unseen / (seen + unseen);
}
