/*
 * Transition table of an at-most-once request. A pair of state and event that
 * is not in the table is a late or duplicate event and is ignored.
 */
#include "mc/retry.h"

enum {
	STATE_COUNT = MC_ONCE_UNKNOWN + 1,
	EVENT_COUNT = MC_ONCE_EV_LOST + 1,
};

/*
 * struct transition_t - a transition of the state machine
 * @valid: the event is allowed in this state
 * @next: next state
 * @action: action for the user of the library
 * @keep_reason: use the event's reason if its error kind promises that the
 *	request has not run
 * @reason: error kind of the response otherwise
 */
typedef struct {
	bool valid;
	mc_once_state_t next;
	mc_once_action_t action;
	bool keep_reason;
	mc_err_t reason;
} transition_t;

#define MOVE_TO(state, act)                             \
	{                                               \
		.valid = true, .next = MC_ONCE_##state, \
		.action = MC_ONCE_DO_##act              \
	}
/* No target has run the request: the event's reason is used if its error kind
 * promises that, @fallback otherwise. */
#define REFUSE_NOT_RUN(fallback)                                             \
	{                                                                    \
		.valid = true, .next = MC_ONCE_REFUSED, .keep_reason = true, \
		.action = MC_ONCE_DO_REFUSE, .reason = MC_ERR_##fallback     \
	}
/* The request, or an earlier one with the same key, may have run: @kind is
 * returned whatever the event's reason is. */
#define REFUSE_AS(state, kind)                                       \
	{                                                            \
		.valid = true, .next = MC_ONCE_##state,              \
		.action = MC_ONCE_DO_REFUSE, .reason = MC_ERR_##kind \
	}

static const transition_t transitions[STATE_COUNT][EVENT_COUNT] = {
	[MC_ONCE_NEW] = {
		[MC_ONCE_EV_CLAIM] = MOVE_TO(CLAIMING, CLAIM),
		[MC_ONCE_EV_DISPATCH] = MOVE_TO(DISPATCHED, DISPATCH),
		[MC_ONCE_EV_NOT_RUN] = REFUSE_NOT_RUN(NO_TARGET),
		[MC_ONCE_EV_LOST] = REFUSE_NOT_RUN(DEADLINE_PAST),
	},
	[MC_ONCE_CLAIMING] = {
		[MC_ONCE_EV_CLAIM_GRANTED] = MOVE_TO(CLAIMED, NOTHING),
		[MC_ONCE_EV_CLAIM_CONFLICT] = REFUSE_AS(REFUSED, DUPLICATE),
		[MC_ONCE_EV_CLAIM_FAILED] = REFUSE_NOT_RUN(STORE_UNAVAILABLE),
		[MC_ONCE_EV_NOT_RUN] = REFUSE_NOT_RUN(NO_TARGET),
		[MC_ONCE_EV_LOST] = REFUSE_NOT_RUN(DEADLINE_PAST),
	},
	[MC_ONCE_CLAIMED] = {
		[MC_ONCE_EV_DISPATCH] = MOVE_TO(DISPATCHED, DISPATCH),
		[MC_ONCE_EV_NOT_RUN] = REFUSE_NOT_RUN(NO_TARGET),
		[MC_ONCE_EV_LOST] = REFUSE_NOT_RUN(DEADLINE_PAST),
	},
	[MC_ONCE_DISPATCHED] = {
		[MC_ONCE_EV_ANSWER] = MOVE_TO(ANSWERED, ANSWER),
		[MC_ONCE_EV_NOT_RUN] = REFUSE_NOT_RUN(TARGET_SHED),
		[MC_ONCE_EV_LOST] = REFUSE_AS(UNKNOWN, OUTCOME_UNKNOWN),
	},
};

mc_once_action_t mc_once_step(mc_once_t *once, mc_once_event_t event,
			      mc_err_t reason)
{
	const transition_t *transition;

	if ((unsigned)once->state >= STATE_COUNT ||
	    (unsigned)event >= EVENT_COUNT)
		return MC_ONCE_DO_NOTHING;
	transition = &transitions[once->state][event];
	if (!transition->valid)
		return MC_ONCE_DO_NOTHING;
	once->state = transition->next;
	once->reason = transition->reason;
	if (transition->keep_reason && mc_error_response(reason)->not_run)
		once->reason = reason;
	if (transition->action == MC_ONCE_DO_DISPATCH)
		once->dispatches++;
	return transition->action;
}
