#ifndef TARRAGONFLOW_FLOW_HANDOVER_H
#define TARRAGONFLOW_FLOW_HANDOVER_H

#include <stdbool.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/flow/agent.h"

/**
 * State that an agent process hands over to its successor at the same backend
 * server: the flow table, and the admission limit and usual answer time that
 * were learned. Without it the successor would start with an empty flow table
 * although the server has connections.
 */

/** Appends the state of @agent, encoded, to @out. */
void handover_export(const struct agent *agent, int64_t now_ms,
		     struct strbuf *out);

/**
 * Imports what another process of the same agent exported. Connections that
 * are already in the flow table are not changed. Returns false, with nothing
 * imported, when @data is malformed or of another agent.
 */
bool handover_import(struct agent *agent, const uint8_t *data, size_t len,
		     int64_t now_ms);

#endif
