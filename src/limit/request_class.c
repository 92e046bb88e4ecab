/*
 * Names of the classes of requests.
 */
#include "mc/limit.h"

#include <string.h>

static const char *const names[MC_CLASS_COUNT] = {
	[MC_CLASS_URGENT] = "urgent",
	[MC_CLASS_INTERACTIVE] = "interactive",
	[MC_CLASS_REPORT] = "report",
};

const char *mc_request_class_name(mc_request_class_t klass)
{
	return (unsigned)klass < MC_CLASS_COUNT ? names[klass] : "unknown";
}

mc_err_t mc_request_class_from_name(const char *name, mc_request_class_t *klass)
{
	int i;

	for (i = 0; i < MC_CLASS_COUNT; i++) {
		if (strcmp(names[i], name))
			continue;
		*klass = (mc_request_class_t)i;
		return MC_OK;
	}
	return mc_fail(MC_ERR_BAD_REQUEST, "no class \"%s\"", name);
}
