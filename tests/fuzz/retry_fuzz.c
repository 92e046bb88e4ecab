/*
 * Fuzzes budgets and the quantile. The oracle: extra sub-queries never exceed
 * the percentage of the first ones and the burst, and an estimate never leaves
 * the range of its samples.
 */
#include "fuzz_input.h"
#include "mc/retry.h"

enum {
	STEPS = 200,
};

static void check_budget(fuzz_input_t *input)
{
	uint32_t percent = fuzz_below(input, 101);
	uint32_t burst = fuzz_below(input, 8);
	uint64_t firsts = 0, extras = 0, in_a_row = 0;
	mc_retry_budget_t budget;
	uint32_t i, count;

	mc_retry_budget_init(&budget, percent, burst);
	for (i = 0; i < STEPS; i++) {
		switch (fuzz_below(input, 4)) {
		case 0:
			count = fuzz_u8(input);
			mc_retry_budget_deposit(&budget, count);
			firsts += count;
			in_a_row = 0;
			break;
		case 1:
			if (!in_a_row)
				break;
			mc_retry_budget_refund(&budget);
			extras--;
			in_a_row--;
			break;
		default:
			count = mc_retry_budget_withdraw(&budget);
			extras += count;
			in_a_row += count;
		}
		FUZZ_CHECK(in_a_row <= burst,
			   "no more than the burst is saved");
		FUZZ_CHECK(extras * 100 <= firsts * percent + burst * 100,
			   "extras stay within the percentage and the burst");
	}
	mc_retry_budget_deposit(&budget, UINT32_MAX);
	FUZZ_CHECK(!percent || !burst || mc_retry_budget_withdraw(&budget),
		   "first sub-queries earn extras");
}

static void check_quantile(fuzz_input_t *input)
{
	double q = (1 + fuzz_below(input, 99)) / 100.0;
	mc_quantile_t quantile = { 0 };
	mc_ms_t low = MC_MS_NEVER, high = 0, sample;
	uint32_t i;

	for (i = 0; i < STEPS; i++) {
		sample = (mc_ms_t)fuzz_u8(input) << fuzz_below(input, 8);
		low = sample < low ? sample : low;
		high = sample > high ? sample : high;
		mc_quantile_add(&quantile, q, sample);
		FUZZ_CHECK(quantile.value >= (double)low &&
				   quantile.value <= (double)high,
			   "an estimate is in the range of its samples");
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_input_t input = fuzz_input_init(data, size);

	check_budget(&input);
	check_quantile(&input);
	return 0;
}
