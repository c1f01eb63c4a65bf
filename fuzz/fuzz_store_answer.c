#include "fuzz.h"
#include "tarragonflow/control/roster_shard.h"
#include "tarragonflow/platform/platform.h"

/*
 * Answers of the users' store to each call on each kind of object, two pages
 * of them; what a shard of the roster holds is read on.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const keys[] = {
		"tarragonflow/main/manifest",
		"tarragonflow/main/zones/",
		"tarragonflow/main/roster/",
		"tarragonflow/main/roster/0f",
	};
	static const long codes[] = {200, 201, 404, 409, 410, 429, 503, 0};
	char after[STORE_KEY_MAX] = "";
	struct store_request request;
	struct store_result result;
	struct str body;

	if (size < 2)
		return 0;
	body.data = (const char *)data + 2;
	body.len = size - 2;
	store_request_init(&request,
			   (enum store_op)(data[0] % (STORE_OP_WATCH + 1)),
			   keys[data[1] % 4]);
	store_result_init(&result, &request);
	for (int page = 0; page < 2; page++)
		http_dialect_platform.read_answer(&request, codes[data[1] / 32],
						  body, &result, after);
	for (size_t i = 0; i < result.n_objects; i++) {
		struct roster roster;

		roster_init(&roster);
		roster_shard_parse(strbuf_str(&result.objects[i].value),
				   &roster);
		roster_finish(&roster);
	}
	store_result_finish(&result);
	store_request_finish(&request);
	return 0;
}
