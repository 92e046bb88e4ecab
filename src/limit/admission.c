/*
 * Admission control of a front. Admitted requests of a class and of more urgent
 * classes count against the class's limit, so that less urgent requests never
 * take the room of more urgent ones. The limits are fractions of a concurrency
 * that grows while it is used and shrinks on overload.
 */
#include "mc/limit.h"

#include <stdlib.h>
#include <string.h>

#include "mc/retry.h"

enum {
	/* Number of samples from which a class's latency estimate is used. */
	SAMPLES_MIN = 10,
	/* Range of the time after which a refused caller should retry, ms. */
	RETRY_MIN_MS = 50,
	RETRY_MAX_MS = 5000,
	/*
	 * Initial concurrency; it doubles per round trip until the first
	 * overload.
	 */
	START_CONCURRENCY = 32,
};

/* Quantile of its class's latencies that a request must have time for. */
static const double needed_quantile = 0.5;
/* Factor by which an overload lowers the concurrency. */
static const double shrink_factor = 0.8;
/* The concurrency may grow while this fraction of it is used. */
static const double used_fraction = 0.5;

/* Fractions of the concurrency that the classes may use. */
static const double class_fraction[MC_CLASS_COUNT] = {
	[MC_CLASS_URGENT] = 1,
	[MC_CLASS_INTERACTIVE] = 7.0 / 8,
	[MC_CLASS_REPORT] = 1.0 / 2,
};

/* An admission policy; @enter decides whether to admit a request. */
typedef struct {
	const char *name;
	mc_err_t (*enter)(const mc_admission_t *admission,
			  mc_request_class_t klass, mc_ms_t deadline);
} policy_t;

/*
 * @concurrency: the adaptive concurrency
 * @lowered_at: when it was last lowered, ms; INT64_MIN if never
 * @in_flight: admitted requests that have not ended, by class
 * @latency: running estimate of the latency of each class
 */
struct mc_admission_t {
	mc_admission_params_t params;
	const policy_t *policy;
	double concurrency;
	mc_ms_t lowered_at;
	uint32_t in_flight[MC_CLASS_COUNT];
	mc_quantile_t latency[MC_CLASS_COUNT];
};

/* Number of admitted requests of @klass and of more urgent classes. */
static uint32_t in_flight_up_to(const mc_admission_t *admission,
				mc_request_class_t klass)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i <= (uint32_t)klass; i++)
		sum += admission->in_flight[i];
	return sum;
}

static uint32_t class_limit(const mc_admission_t *admission,
			    mc_request_class_t klass)
{
	double slots = (uint32_t)admission->concurrency * class_fraction[klass];

	return slots < 1 ? 1 : (uint32_t)slots;
}

static mc_err_t enter_class(const mc_admission_t *admission,
			    mc_request_class_t klass, mc_ms_t deadline)
{
	const mc_quantile_t *latency = &admission->latency[klass];

	if (in_flight_up_to(admission, klass) >= class_limit(admission, klass))
		return mc_fail(MC_ERR_OVERLOADED,
			       "class %s is at its admission limit",
			       mc_request_class_name(klass));
	/*
	 * A single request is admitted anyway, so that the latency estimate
	 * stays current.
	 */
	if (admission->in_flight[klass] && latency->samples >= SAMPLES_MIN &&
	    (double)deadline < latency->value)
		return mc_fail(
			MC_ERR_DEADLINE_PAST,
			"deadline in %lld ms, but class %s takes %.0f ms",
			(long long)deadline, mc_request_class_name(klass),
			latency->value);
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
	admission->lowered_at = INT64_MIN;
	return admission;
}

void mc_admission_destroy(mc_admission_t *admission)
{
	free(admission);
}

/* The class's latency, increased in proportion to the load. */
static mc_ms_t retry_time(const mc_admission_t *admission,
			  mc_request_class_t klass)
{
	double load = in_flight_up_to(admission, MC_CLASS_REPORT) /
		      admission->concurrency;
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
		err = mc_fail(MC_ERR_DEADLINE_PAST, "deadline has passed");
	else
		err = admission->policy->enter(admission, klass, deadline);
	if (err)
		*retry_after = retry_time(admission, klass);
	else
		admission->in_flight[klass]++;
	return err;
}

/*
 * Lowers the concurrency at most once per round trip: requests that were
 * admitted before the last decrease don't count.
 */
static void lower_concurrency(mc_admission_t *admission, mc_ms_t latency,
			      mc_ms_t now)
{
	double min = admission->params.min_concurrency;

	if (now - latency <= admission->lowered_at)
		return;
	admission->lowered_at = now;
	admission->concurrency *= shrink_factor;
	if (admission->concurrency < min)
		admission->concurrency = min;
}

static void raise_concurrency(mc_admission_t *admission)
{
	double max = admission->params.concurrency;
	bool doubling = admission->lowered_at == INT64_MIN;

	if (in_flight_up_to(admission, MC_CLASS_REPORT) <
	    admission->concurrency * used_fraction)
		return;
	admission->concurrency += doubling ? 1 : 1 / admission->concurrency;
	if (admission->concurrency > max)
		admission->concurrency = max;
}

void mc_admission_leave(mc_admission_t *admission, mc_request_class_t klass,
			mc_ms_t latency, bool overloaded, mc_ms_t now)
{
	mc_quantile_add(&admission->latency[klass], needed_quantile, latency);
	if (overloaded)
		lower_concurrency(admission, latency, now);
	else
		raise_concurrency(admission);
	if (admission->in_flight[klass])
		admission->in_flight[klass]--;
}

uint32_t mc_admission_concurrency(const mc_admission_t *admission)
{
	return (uint32_t)admission->concurrency;
}

uint32_t mc_admission_in_flight(const mc_admission_t *admission,
				mc_request_class_t klass)
{
	return admission->in_flight[klass];
}
