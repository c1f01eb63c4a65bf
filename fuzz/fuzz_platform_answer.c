#include "fuzz.h"
#include "tarragonflow/platform/http_platform.h"

/* The first byte picks the call that the rest answers. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct platform_request request;
	struct platform_result result;
	struct str body;

	if (!size)
		return 0;
	body.data = (const char *)data + 1;
	body.len = size - 1;
	platform_request_init(
		&request, (enum platform_op)(data[0] % (PLATFORM_OP_WATCH + 1)),
		"key");
	platform_result_init(&result, &request);
	http_platform_parse(&result, body);
	assert(result.status.code == STATUS_OK || !result.n_objects);
	platform_result_finish(&result);
	platform_request_finish(&request);
	return 0;
}
