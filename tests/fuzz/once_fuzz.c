/*
 * Fuzzes a request that may run only once with events in any order. The model
 * is a target that runs what is dispatched, and a caller that believes what it
 * is told.
 */
#include "fuzz_input.h"
#include "mc/retry.h"

enum {
	STEPS = 24,
};

/* What has really happened to the request. */
typedef struct {
	uint32_t dispatches;
	uint32_t answers;
	bool claiming;
	bool claim_lost;
} truth_t;

static void check_refusal(const truth_t *truth, const mc_once_t *once,
			  mc_once_event_t event)
{
	const mc_error_response_t *answer = mc_error_response(once->reason);

	FUZZ_CHECK(answer->http_status >= 400, "a refusal has an error kind");
	if (answer->not_run)
		FUZZ_CHECK(!truth->claim_lost && (!truth->dispatches ||
						  event == MC_ONCE_EV_NOT_RUN),
			   "\"not run\" is said only when it is true");
	if (truth->dispatches && event == MC_ONCE_EV_LOST)
		FUZZ_CHECK(once->reason == MC_ERR_OUTCOME_UNKNOWN,
			   "a lost answer leaves the outcome unknown");
}

static void check_step(truth_t *truth, mc_once_t *once, mc_once_event_t event,
		       mc_err_t reason)
{
	mc_once_action_t action;

	if (event == MC_ONCE_EV_CLAIM_CONFLICT && truth->claiming)
		truth->claim_lost = true;
	action = mc_once_step(once, event, reason);
	switch (action) {
	case MC_ONCE_DO_CLAIM:
		truth->claiming = true;
		break;
	case MC_ONCE_DO_DISPATCH:
		truth->dispatches++;
		FUZZ_CHECK(!truth->claim_lost && !truth->answers,
			   "nothing is dispatched after it ended");
		break;
	case MC_ONCE_DO_ANSWER:
		truth->answers++;
		FUZZ_CHECK(truth->dispatches, "an answer needs a dispatch");
		break;
	case MC_ONCE_DO_REFUSE:
		truth->answers++;
		check_refusal(truth, once, event);
		break;
	default:
		break;
	}
	truth->claiming &= once->state == MC_ONCE_CLAIMING;
	FUZZ_CHECK(truth->dispatches <= 1, "it is dispatched at most once");
	FUZZ_CHECK(once->dispatches == truth->dispatches,
		   "dispatches are counted");
	FUZZ_CHECK(truth->answers <= 1, "it is answered at most once");
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);
	mc_once_t once = { 0 };
	truth_t truth = { 0 };
	uint32_t i;

	for (i = 0; i < STEPS; i++)
		check_step(&truth, &once,
			   (mc_once_event_t)fuzz_below(&input,
						       MC_ONCE_EV_LOST + 1),
			   (mc_err_t)fuzz_below(&input, MC_ERR_COUNT));
	return 0;
}
