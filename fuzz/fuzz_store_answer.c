#include "fuzz.h"
#include "tarragonflow/control/roster_shard.h"
#include "tarragonflow/platform/platform.h"

/*
 * Responses of the users' platform to each operation of the store on each kind
 * of object, as two pages. Each object returned is also parsed as a shard of
 * the roster. The first byte selects the operation, the second the key and the
 * HTTP status code.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const keys[] = {
		"tarragonflow/main/manifest",
		"tarragonflow/main/zones/",
		"tarragonflow/main/roster/",
		"tarragonflow/main/roster/0f",
	};
	static const long http_codes[] = {200, 201, 404, 409, 410, 429, 503, 0};
	char next_page[STORE_KEY_MAX] = "";
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
		http_dialect_platform.parse_response(&request,
						     http_codes[data[1] / 32],
						     body, &result, next_page);
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
