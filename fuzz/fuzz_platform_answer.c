#include "fuzz.h"
#include "tarragonflow/store/http_store.h"

/* The first byte selects the operation, the rest is the response to it. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct store_request request;
	struct store_result result;
	struct str body;

	if (!size)
		return 0;
	body.data = (const char *)data + 1;
	body.len = size - 1;
	store_request_init(&request,
			   (enum store_op)(data[0] % (STORE_OP_WATCH + 1)),
			   "key");
	store_result_init(&result, &request);
	http_dialect_native_parse(&result, body);
	assert(result.status.code == STATUS_OK || !result.n_objects);
	store_result_finish(&result);
	store_request_finish(&request);
	return 0;
}
