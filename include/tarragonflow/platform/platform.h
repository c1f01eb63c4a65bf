#ifndef TARRAGONFLOW_PLATFORM_PLATFORM_H
#define TARRAGONFLOW_PLATFORM_PLATFORM_H

#include <jansson.h>

#include "tarragonflow/flow/server_report.h"
#include "tarragonflow/manifest/manifest.h"
#include "tarragonflow/node/adapter.h"

/**
 * The adapter to the users' machines. It translates between their platform's
 * packets, store, operator's objects and calls and the product's own types;
 * it decides nothing and keeps no state.
 */
extern const struct adapter adapter_platform;

/** The platform's packets: a head of 31 bytes and up to 1,200 of data. */
extern const struct packet_format packet_format_platform;

/** The platform's store of objects by kind and name. */
extern const struct http_dialect http_dialect_platform;

extern const struct http_mount platform_mounts[];
extern const size_t platform_n_mounts;

/**
 * Reads the operator's configuration @spec into @manifest as the release of
 * @deployment. What can't be read of it, such as a route without a port, is
 * left out with a log line; false when there is no version.
 */
bool platform_config_read(const json_t *spec, const struct name *deployment,
			  struct manifest *manifest);

/**
 * Reads a heartbeat of the backend server @id. STATUS_INVALID, with a message
 * that names the field, when it names no server to use.
 */
enum status_code platform_announcement_read(struct str body, const char *id,
					    struct server_report *report,
					    struct status *status);

/** Reads the word of the backend server @id that it has left. */
void platform_leave_read(struct str body, const char *id,
			 struct server_report *report);

/**
 * Copies @text into @name. A text that is no name of ours becomes one made of
 * its hash, so that equal texts stay equal; false when it is empty.
 */
bool platform_name(struct name *name, const char *text);

#endif
