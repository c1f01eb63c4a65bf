#ifndef TARRAGONFLOW_FLOW_HANDOVER_H
#define TARRAGONFLOW_FLOW_HANDOVER_H

#include <stdbool.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/flow/agent.h"

/**
 * What an agent tells its successor at the same backend server: the
 * connections that live there and what admission has learned. Without it a
 * replaced agent would know none of the connections of its server.
 */

/** Appends the connections of @agent to @out. */
void handover_export(const struct agent *agent, int64_t now_ms,
		     struct strbuf *out);

/**
 * Takes what another run of the same agent exported. Connections that are
 * known already stay as they are. Returns false, with nothing taken, when
 * @data is malformed or of another agent.
 */
bool handover_import(struct agent *agent, const uint8_t *data, size_t len,
		     int64_t now_ms);

#endif
