/*
 * Which requests a front admits. A class counts against its bound what is in
 * of itself and of more urgent classes, so that less urgent ones never take a
 * more urgent one's room. The bounds are fractions of a concurrency that grows
 * while it is used and shrinks on overload.
 */
#include "mc/limit.h"

#include <stdlib.h>
#include <string.h>

#include "mc/retry.h"

enum {
	/* Samples from which on the time that a class takes is known. */
	SAMPLES_MIN = 10,
	/* Bounds of the time after which a refused caller tries again, ms. */
	RETRY_MIN_MS = 50,
	RETRY_MAX_MS = 5000,
	/* Concurrency at the start; it doubles until the first overload. */
	START_CONCURRENCY = 32,
};

/* Quantile of a class's latencies that a request must have time for. */
static const double needed_quantile = 0.5;
/* What remains of the concurrency after an overload. */
static const double shrink_factor = 0.8;
/* A concurrency that is used to this extent may grow. */
static const double used_fraction = 0.5;

/* Fractions of the concurrency that the classes may use. */
static const double class_fraction[MC_CLASS_COUNT] = {
	[MC_CLASS_URGENT] = 1,
	[MC_CLASS_INTERACTIVE] = 7.0 / 8,
	[MC_CLASS_REPORT] = 1.0 / 2,
};

/* struct policy_t - a way to admit: whether a request may enter */
typedef struct {
	const char *name;
	mc_err_t (*enter)(const mc_admission_t *admission,
			  mc_request_class_t klass, mc_ms_t deadline);
} policy_t;

/*
 * @concurrency: the adaptive concurrency
 * @shrunk: when it last shrank
 * @in: requests that are in
 * @latency: running estimate for each class
 */
struct mc_admission_t {
	mc_admission_params_t params;
	const policy_t *policy;
	double concurrency;
	mc_ms_t shrunk;
	uint32_t in[MC_CLASS_COUNT];
	mc_quantile_t latency[MC_CLASS_COUNT];
};

/* Requests that are in, of @klass and of more urgent classes. */
static uint32_t in_up_to(const mc_admission_t *admission,
			 mc_request_class_t klass)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i <= (uint32_t)klass; i++)
		sum += admission->in[i];
	return sum;
}

static uint32_t bound(const mc_admission_t *admission, mc_request_class_t klass)
{
	double slots = (uint32_t)admission->concurrency * class_fraction[klass];

	return slots < 1 ? 1 : (uint32_t)slots;
}

static mc_err_t enter_class(const mc_admission_t *admission,
			    mc_request_class_t klass, mc_ms_t deadline)
{
	const mc_quantile_t *latency = &admission->latency[klass];

	if (in_up_to(admission, klass) >= bound(admission, klass))
		return mc_fail(MC_ERR_OVERLOADED, "no room for class %s",
			       mc_request_class_name(klass));
	/* A single request passes, to learn what requests take now. */
	if (admission->in[klass] && latency->samples >= SAMPLES_MIN &&
	    (double)deadline < latency->value)
		return mc_fail(MC_ERR_DEADLINE_PAST,
			       "%lld ms left, class %s takes %.0f ms",
			       (long long)deadline,
			       mc_request_class_name(klass), latency->value);
	return MC_OK;
}

static mc_err_t enter_none(const mc_admission_t *admission,
			   mc_request_class_t klass, mc_ms_t deadline)
{
	(void)admission;
	(void)klass;
	(void)deadline;
	return MC_OK;
}

static const policy_t *find_policy(const char *name)
{
	static const policy_t policies[] = {
		{ .name = "class", .enter = enter_class },
		{ .name = "none", .enter = enter_none },
	};
	size_t i;

	for (i = 0; i < MC_ARRAY_LEN(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

mc_admission_t *mc_admission_create(const mc_admission_params_t *params)
{
	const policy_t *policy = find_policy(params->policy);
	mc_admission_t *admission;

	if (!policy)
		return NULL;
	admission = calloc(1, sizeof(*admission));
	if (!admission)
		return NULL;
	admission->params = *params;
	admission->policy = policy;
	if (!admission->params.concurrency)
		admission->params.concurrency = 1;
	if (!admission->params.min_concurrency)
		admission->params.min_concurrency = 1;
	if (admission->params.min_concurrency > admission->params.concurrency)
		admission->params.min_concurrency =
			admission->params.concurrency;
	admission->concurrency = START_CONCURRENCY;
	if (admission->concurrency < admission->params.min_concurrency)
		admission->concurrency = admission->params.min_concurrency;
	if (admission->concurrency > admission->params.concurrency)
		admission->concurrency = admission->params.concurrency;
	admission->shrunk = INT64_MIN;
	return admission;
}

void mc_admission_destroy(mc_admission_t *admission)
{
	free(admission);
}

/* What requests of the class take, and longer the more are in. */
static mc_ms_t retry_time(const mc_admission_t *admission,
			  mc_request_class_t klass)
{
	double load =
		in_up_to(admission, MC_CLASS_REPORT) / admission->concurrency;
	double time = admission->latency[klass].value * (1 + load);

	if (time < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return time < RETRY_MAX_MS ? (mc_ms_t)time : RETRY_MAX_MS;
}

mc_err_t mc_admission_enter(mc_admission_t *admission, mc_request_class_t klass,
			    mc_ms_t deadline, mc_ms_t now, mc_ms_t *retry_after)
{
	mc_err_t err;

	(void)now;
	*retry_after = 0;
	if (deadline <= 0)
		err = mc_fail(MC_ERR_DEADLINE_PAST, "no time left");
	else
		err = admission->policy->enter(admission, klass, deadline);
	if (err)
		*retry_after = retry_time(admission, klass);
	else
		admission->in[klass]++;
	return err;
}

/* At most once per round trip: not by what entered before the last time. */
static void shrink(mc_admission_t *admission, mc_ms_t latency, mc_ms_t now)
{
	double least = admission->params.min_concurrency;

	if (now - latency <= admission->shrunk)
		return;
	admission->shrunk = now;
	admission->concurrency *= shrink_factor;
	if (admission->concurrency < least)
		admission->concurrency = least;
}

static void grow(mc_admission_t *admission)
{
	double most = admission->params.concurrency;
	bool doubling = admission->shrunk == INT64_MIN;

	if (in_up_to(admission, MC_CLASS_REPORT) <
	    admission->concurrency * used_fraction)
		return;
	admission->concurrency += doubling ? 1 : 1 / admission->concurrency;
	if (admission->concurrency > most)
		admission->concurrency = most;
}

void mc_admission_leave(mc_admission_t *admission, mc_request_class_t klass,
			mc_ms_t latency, bool overloaded, mc_ms_t now)
{
	mc_quantile_add(&admission->latency[klass], needed_quantile, latency);
	if (overloaded)
		shrink(admission, latency, now);
	else
		grow(admission);
	if (admission->in[klass])
		admission->in[klass]--;
}

uint32_t mc_admission_concurrency(const mc_admission_t *admission)
{
	return (uint32_t)admission->concurrency;
}

uint32_t mc_admission_in_flight(const mc_admission_t *admission,
				mc_request_class_t klass)
{
	return admission->in[klass];
}
