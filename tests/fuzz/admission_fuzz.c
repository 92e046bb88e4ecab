/*
 * Fuzzes admission control with requests of all classes that enter and leave.
 * The oracle counts the admitted requests and checks that no class exceeds its
 * limit, none is refused below the minimum concurrency, and urgent requests are
 * never refused because of less urgent ones.
 */
#include "fuzz_input.h"
#include "mc/limit.h"

enum {
	STEPS = 200,
	STEP_MAX_MS = 16,
	LATENCY_MAX_MS = 1024,
};

typedef struct {
	fuzz_input_t input;
	mc_admission_params_t params;
	mc_admission_t *admission;
	mc_ms_t now;
	uint32_t in_flight[MC_CLASS_COUNT];
	mc_ms_t max_latency[MC_CLASS_COUNT];
} model_t;

/* Limit of a class in eighths of the concurrency, at least one request. */
static uint32_t class_limit(uint32_t concurrency, mc_request_class_t klass)
{
	static const uint32_t eighths[MC_CLASS_COUNT] = { 8, 7, 4 };
	uint32_t slots = concurrency * eighths[klass] / 8;

	return slots ? slots : 1;
}

static uint32_t in_flight_up_to(const model_t *model, mc_request_class_t klass)
{
	uint32_t sum = 0;
	int i;

	for (i = 0; i <= (int)klass; i++)
		sum += model->in_flight[i];
	return sum;
}

static void check_refusal(const model_t *model, mc_request_class_t klass,
			  mc_ms_t deadline, mc_err_t err)
{
	uint32_t floor = class_limit(model->params.min_concurrency, klass);
	uint32_t concurrency = mc_admission_concurrency(model->admission);

	FUZZ_CHECK(klass != MC_CLASS_URGENT || model->in_flight[klass],
		   "a single urgent request is always admitted");
	if (err == MC_ERR_DEADLINE_PAST) {
		FUZZ_CHECK(
			model->in_flight[klass] &&
				deadline < model->max_latency[klass],
			"a slower request is the reason of an early refusal");
		return;
	}
	FUZZ_CHECK(err == MC_ERR_OVERLOADED, "other refusals are for overload");
	FUZZ_CHECK(in_flight_up_to(model, klass) >= floor,
		   "nothing is refused below the minimum concurrency");
	FUZZ_CHECK(klass != MC_CLASS_URGENT ||
			   model->in_flight[klass] >= concurrency,
		   "urgent requests may use the whole concurrency");
}

static void enter(model_t *model)
{
	mc_request_class_t klass =
		(mc_request_class_t)fuzz_below(&model->input, MC_CLASS_COUNT);
	mc_ms_t deadline = 4 * fuzz_u8(&model->input);
	uint32_t concurrency = mc_admission_concurrency(model->admission);
	mc_ms_t retry;
	mc_err_t err = mc_admission_enter(model->admission, klass, deadline,
					  model->now, &retry);

	FUZZ_CHECK(deadline || err == MC_ERR_DEADLINE_PAST,
		   "no request is admitted after its deadline");
	FUZZ_CHECK(!err == !retry, "a refusal has a retry time");
	if (err) {
		if (deadline)
			check_refusal(model, klass, deadline, err);
		return;
	}
	model->in_flight[klass]++;
	FUZZ_CHECK(model->in_flight[klass] == 1 ||
			   in_flight_up_to(model, klass) <=
				   class_limit(concurrency, klass),
		   "a class stays within its limit");
	FUZZ_CHECK(klass == MC_CLASS_URGENT ||
			   in_flight_up_to(model, klass) <=
				   class_limit(concurrency, klass),
		   "less urgent requests stay within their limit");
}

static void leave(model_t *model)
{
	mc_request_class_t klass =
		(mc_request_class_t)fuzz_below(&model->input, MC_CLASS_COUNT);
	mc_ms_t latency = 4 * fuzz_u8(&model->input);

	if (!model->in_flight[klass])
		return;
	model->in_flight[klass]--;
	if (latency > model->max_latency[klass])
		model->max_latency[klass] = latency;
	mc_admission_leave(model->admission, klass, latency,
			   !fuzz_below(&model->input, 3), model->now);
}

static void check_state(const model_t *model)
{
	uint32_t concurrency = mc_admission_concurrency(model->admission);
	int i;

	FUZZ_CHECK(concurrency >= model->params.min_concurrency &&
			   concurrency <= model->params.concurrency,
		   "the concurrency stays between its bounds");
	for (i = 0; i < MC_CLASS_COUNT; i++)
		FUZZ_CHECK(
			model->in_flight[i] ==
				mc_admission_in_flight(model->admission,
						       (mc_request_class_t)i),
			"admitted requests are counted");
}

/* Without overload, the concurrency returns to its maximum. */
static void check_recovery(model_t *model)
{
	const mc_request_class_t klass = MC_CLASS_URGENT;
	uint32_t rounds, in_flight, i;
	mc_ms_t retry;

	for (i = 0; i < MC_CLASS_COUNT; i++)
		while (model->in_flight[i]--)
			mc_admission_leave(model->admission,
					   (mc_request_class_t)i, 1, false,
					   model->now);

	for (rounds = 4 * model->params.concurrency; rounds; rounds--) {
		in_flight = 0;
		while (!mc_admission_enter(model->admission, klass,
					   LATENCY_MAX_MS, model->now, &retry))
			in_flight++;
		while (in_flight--)
			mc_admission_leave(model->admission, klass, 1, false,
					   model->now);
	}
	FUZZ_CHECK(mc_admission_concurrency(model->admission) ==
			   model->params.concurrency,
		   "the concurrency recovers without overload");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	model_t model = { .input = fuzz_input_init(data, size) };
	uint32_t concurrency = 1 + fuzz_below(&model.input, 16);
	uint32_t i;

	model.params = (mc_admission_params_t){
		.policy = "class",
		.concurrency = concurrency,
		.min_concurrency = 1 + fuzz_below(&model.input, concurrency),
	};
	model.admission = mc_admission_create(&model.params);
	for (i = 0; i < STEPS; i++) {
		model.now += fuzz_below(&model.input, STEP_MAX_MS);
		if (fuzz_below(&model.input, 5) < 3)
			enter(&model);
		else
			leave(&model);
		check_state(&model);
	}
	check_recovery(&model);
	mc_admission_destroy(model.admission);
	return 0;
}
