#include "fuzz.h"
#include "tarragonflow/node/settings.h"

/* The first byte selects the role, the rest is the settings file. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct json_errors errors;
	struct settings settings;
	struct str text;
	json_t *root;

	if (!size)
		return 0;
	text.data = (const char *)data + 1;
	text.len = size - 1;
	json_errors_init(&errors, "input");
	root = json_reader_parse(text, &errors);
	if (root) {
		settings_read(&settings,
			      data[0] & 1 ? MEMBER_AGENT : MEMBER_BALANCER,
			      root, &errors);
		assert(errors.count || settings.name.len);
	}
	json_decref(root);
	json_errors_finish(&errors);
	return 0;
}
