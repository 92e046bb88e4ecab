/*
 * Token-bucket retry budget. Tokens are hundredths of an extra sub-query: a
 * first sub-query deposits the configured percentage of tokens, an extra one
 * costs EXTRA_COST.
 */
#include "mc/retry.h"

enum {
	/* Tokens that one extra sub-query costs. */
	EXTRA_COST = 100,
};

void mc_retry_budget_init(mc_retry_budget_t *budget, uint32_t percent,
			  uint32_t burst)
{
	if (burst > UINT32_MAX / EXTRA_COST)
		burst = UINT32_MAX / EXTRA_COST;
	*budget = (mc_retry_budget_t){
		.percent = percent,
		.tokens = burst * EXTRA_COST,
		.max_tokens = burst * EXTRA_COST,
	};
}

static void add_tokens(mc_retry_budget_t *budget, uint64_t amount)
{
	uint32_t capacity_left = budget->max_tokens - budget->tokens;

	budget->tokens +=
		amount < capacity_left ? (uint32_t)amount : capacity_left;
}

void mc_retry_budget_deposit(mc_retry_budget_t *budget, uint32_t count)
{
	add_tokens(budget, (uint64_t)budget->percent * count);
}

bool mc_retry_budget_withdraw(mc_retry_budget_t *budget)
{
	if (budget->unbounded)
		return true;
	if (budget->tokens < EXTRA_COST)
		return false;
	budget->tokens -= EXTRA_COST;
	return true;
}

void mc_retry_budget_refund(mc_retry_budget_t *budget)
{
	if (!budget->unbounded)
		add_tokens(budget, EXTRA_COST);
}
