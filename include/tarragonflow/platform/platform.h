#ifndef TARRAGONFLOW_PLATFORM_PLATFORM_H
#define TARRAGONFLOW_PLATFORM_PLATFORM_H

#include <jansson.h>

#include "tarragonflow/flow/server_report.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/node/adapter.h"

/**
 * Adapter for the hosting platform: translates its packet headers, object
 * store, operator's objects and HTTP calls to and from the product's own
 * types. Makes no decisions and keeps no state.
 */
extern const struct adapter adapter_platform;

/** The platform's packets: a header of 31 bytes and up to 1,200 of data. */
extern const struct packet_format packet_format_platform;

/** HTTP calls to the platform's store, which has objects by kind and name. */
extern const struct http_dialect http_dialect_platform;

/**
 * HTTP handlers for readiness probes of the process, and for heartbeats and
 * deregistrations of its backend server.
 */
extern const struct http_mount platform_mounts[];
extern const size_t platform_n_mounts;

/**
 * Converts the operator's configuration @spec into @manifest for @deployment;
 * its version becomes the release number. Invalid parts, such as a route
 * without a port, are skipped and logged. False when the version is missing.
 */
bool platform_config_read(const json_t *spec, const struct name *deployment,
			  struct manifest *manifest);

/**
 * Parses the heartbeat @body of the backend server @id into @report.
 * STATUS_INVALID, with a message that names the field, when @id is empty or
 * a field is missing or out of range.
 */
enum status_code platform_heartbeat_read(struct str body, const char *id,
					 struct server_report *report,
					 struct status *status);

/**
 * Parses the deregistration @body of the backend server @id into @report.
 * When @body is malformed, the start time of the server is 0 (unknown).
 */
void platform_deregister_read(struct str body, const char *id,
			      struct server_report *report);

/**
 * Converts a name of the platform. A @text that name_set() rejects becomes a
 * name made of its hash, so that equal texts give equal names. False when
 * @text is NULL or empty.
 */
bool platform_name_convert(struct name *name, const char *text);

#endif
