/*
 * Fuzzes the state machine of an at-most-once request with events in any order.
 * The model is a target that runs every request dispatched to it, and a caller
 * that relies on the response.
 */
#include "fuzz_input.h"
#include "mc/retry.h"

enum {
	STEPS = 24,
};

/* Reference model: what has actually happened to the request. */
typedef struct {
	uint32_t dispatches;
	uint32_t answers;
	bool claiming;
	bool claim_lost;
} model_t;

static void check_refusal(const model_t *model, const mc_once_t *once,
			  mc_once_event_t event)
{
	const mc_error_response_t *answer = mc_error_response(once->reason);

	FUZZ_CHECK(answer->http_status >= 400, "a refusal has an error status");
	if (answer->not_run)
		FUZZ_CHECK(!model->claim_lost && (!model->dispatches ||
						  event == MC_ONCE_EV_NOT_RUN),
			   "\"not run\" is promised only if it has not run");
	if (model->dispatches && event == MC_ONCE_EV_LOST)
		FUZZ_CHECK(once->reason == MC_ERR_OUTCOME_UNKNOWN,
			   "a lost response leaves the outcome unknown");
}

static void check_step(model_t *model, mc_once_t *once, mc_once_event_t event,
		       mc_err_t reason)
{
	mc_once_action_t action;

	if (event == MC_ONCE_EV_CLAIM_CONFLICT && model->claiming)
		model->claim_lost = true;
	action = mc_once_step(once, event, reason);
	switch (action) {
	case MC_ONCE_DO_CLAIM:
		model->claiming = true;
		break;
	case MC_ONCE_DO_DISPATCH:
		model->dispatches++;
		FUZZ_CHECK(!model->claim_lost && !model->answers,
			   "nothing is dispatched after the end");
		break;
	case MC_ONCE_DO_ANSWER:
		model->answers++;
		FUZZ_CHECK(model->dispatches, "a response needs a dispatch");
		break;
	case MC_ONCE_DO_REFUSE:
		model->answers++;
		check_refusal(model, once, event);
		break;
	default:
		break;
	}
	model->claiming &= once->state == MC_ONCE_CLAIMING;
	FUZZ_CHECK(model->dispatches <= 1,
		   "the request is dispatched at most once");
	FUZZ_CHECK(once->dispatches == model->dispatches,
		   "dispatches are counted");
	FUZZ_CHECK(model->answers <= 1, "the request is answered at most once");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	mc_once_t once = { 0 };
	model_t model = { 0 };
	uint32_t i;

	for (i = 0; i < STEPS; i++)
		check_step(&model, &once,
			   (mc_once_event_t)fuzz_below(&input,
						       MC_ONCE_EV_LOST + 1),
			   (mc_err_t)fuzz_below(&input, MC_ERR_COUNT));
	return 0;
}
