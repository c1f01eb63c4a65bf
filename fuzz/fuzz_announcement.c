#include "fuzz.h"
#include "tarragonflow/platform/platform.h"

/* Heartbeats and deregistrations of backend servers, possibly forged. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct str body = {(const char *)data, size};
	struct server_report report;
	struct status status;

	status_init(&status);
	if (platform_heartbeat_read(body, "i-1", &report, &status) ==
	    STATUS_OK) {
		assert(report.state == SERVER_READY ||
		       report.state == SERVER_DRAINING);
		assert(report.slots && report.service.len);
		assert(report.warmup_left_ms >= 0);
	}
	platform_deregister_read(body, "i-1", &report);
	assert(report.state == SERVER_ENDING);
	return 0;
}
