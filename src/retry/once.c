/*
 * The states of a request that may run only once, as a table of transitions.
 * What is not in the table is late or came twice and changes nothing.
 */
#include "mc/retry.h"

enum {
	STATE_COUNT = MC_ONCE_UNKNOWN + 1,
	EVENT_COUNT = MC_ONCE_EV_LOST + 1,
};

/*
 * struct rule_t - a transition
 * @known: the pair of state and event is allowed
 * @next: state that follows
 * @action: what the caller shall do
 * @keeps: the event's reason is kept if it is one with "not run"
 * @reason: error kind of the answer otherwise
 */
typedef struct {
	bool known;
	mc_once_state_t next;
	mc_once_action_t action;
	bool keeps;
	mc_err_t reason;
} rule_t;

#define MOVE_TO(state, act)                             \
	{                                               \
		.known = true, .next = MC_ONCE_##state, \
		.action = MC_ONCE_DO_##act              \
	}
/* No byte has run at a target: the reason may be any with "not run". */
#define REFUSE_NOT_RUN(fallback)                                         \
	{                                                                \
		.known = true, .next = MC_ONCE_REFUSED, .keeps = true,   \
		.action = MC_ONCE_DO_REFUSE, .reason = MC_ERR_##fallback \
	}
/* The key, or the request itself, may have run. */
#define REFUSE_AS(state, kind)                                       \
	{                                                            \
		.known = true, .next = MC_ONCE_##state,              \
		.action = MC_ONCE_DO_REFUSE, .reason = MC_ERR_##kind \
	}

static const rule_t rules[STATE_COUNT][EVENT_COUNT] = {
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
	const rule_t *rule;

	if ((unsigned)once->state >= STATE_COUNT ||
	    (unsigned)event >= EVENT_COUNT)
		return MC_ONCE_DO_NOTHING;
	rule = &rules[once->state][event];
	if (!rule->known)
		return MC_ONCE_DO_NOTHING;
	once->state = rule->next;
	once->reason = rule->reason;
	if (rule->keeps && mc_error_response(reason)->not_run)
		once->reason = reason;
	if (rule->action == MC_ONCE_DO_DISPATCH)
		once->dispatches++;
	return rule->action;
}
