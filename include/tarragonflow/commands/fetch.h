#ifndef TARRAGONFLOW_COMMANDS_FETCH_H
#define TARRAGONFLOW_COMMANDS_FETCH_H

#include <jansson.h>

#include "tarragonflow/common/status.h"

/**
 * Gets a JSON document from the admin API at @admin ("a.b.c.d:port").
 * NULL with @status set on failure; the caller releases the result.
 */
json_t *fetch_json(const char *admin, const char *path, struct status *status);

#endif
