/*
 * Budgets of extra sub-queries. A first sub-query earns hundredths of an extra
 * one; an extra one costs a whole.
 */
#include "mc/retry.h"

enum {
	/* Hundredths of an extra that one extra costs. */
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

static void add(mc_retry_budget_t *budget, uint64_t amount)
{
	uint32_t room = budget->max_tokens - budget->tokens;

	budget->tokens += amount < room ? (uint32_t)amount : room;
}

void mc_retry_budget_deposit(mc_retry_budget_t *budget, uint32_t count)
{
	add(budget, (uint64_t)budget->percent * count);
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
		add(budget, EXTRA_COST);
}
