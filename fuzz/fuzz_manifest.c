#include "fuzz.h"
#include "tarragonflow/manifest/manifest.h"

/* What is accepted is written to a form that is accepted again. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct manifest manifest, again;
	struct status status;
	struct strbuf out;

	status_init(&status);
	manifest_init(&manifest);
	if (manifest_parse(&manifest, text, "input", &status) == STATUS_OK) {
		strbuf_init(&out);
		manifest_init(&again);
		manifest_write(&manifest, &out);
		assert(manifest_parse(&again, strbuf_str(&out), "written",
				      &status) == STATUS_OK);
		assert(again.release == manifest.release);
		manifest_finish(&again);
		strbuf_finish(&out);
	}
	manifest_finish(&manifest);
	return 0;
}
