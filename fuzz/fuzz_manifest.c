#include "fuzz.h"
#include "tarragonflow/manifest/manifest.h"

/* A manifest that is accepted is also accepted after it is written out. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct manifest manifest, reparsed;
	struct status status;
	struct strbuf written;

	status_init(&status);
	manifest_init(&manifest);
	if (manifest_parse(&manifest, text, "input", &status) == STATUS_OK) {
		strbuf_init(&written);
		manifest_init(&reparsed);
		manifest_write(&manifest, &written);
		assert(manifest_parse(&reparsed, strbuf_str(&written),
				      "written", &status) == STATUS_OK);
		assert(reparsed.release == manifest.release);
		manifest_finish(&reparsed);
		strbuf_finish(&written);
	}
	manifest_finish(&manifest);
	return 0;
}
