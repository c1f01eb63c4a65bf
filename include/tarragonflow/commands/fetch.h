#ifndef TARRAGONFLOW_COMMANDS_FETCH_H
#define TARRAGONFLOW_COMMANDS_FETCH_H

#include <jansson.h>

#include "tarragonflow/common/status.h"

/**
 * Fetches the JSON document at @path of the admin API at @admin
 * ("a.b.c.d:port"). On failure returns NULL and sets @status:
 * STATUS_UNAVAILABLE without a response of 200 within 3 s, STATUS_PARSE when
 * it is no JSON. The caller owns the result.
 */
json_t *fetch_json(const char *admin, const char *path, struct status *status);

/** As fetch_json(), for documents that also come with other HTTP codes. */
json_t *fetch_json_of_any_code(const char *admin, const char *path,
			       struct status *status);

#endif
