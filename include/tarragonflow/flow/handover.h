#ifndef TARRAGONFLOW_FLOW_HANDOVER_H
#define TARRAGONFLOW_FLOW_HANDOVER_H

#include <stdbool.h>

#include "tarragonflow/common/str.h"
#include "tarragonflow/flow/agent.h"

/**
 * Hand-over of state from an agent process to its successor at the same backend
 * server: the flow table, the current connection limit and the usual response
 * time. Without a hand-over the successor would start with an empty flow table
 * although the server has connections.
 */

/** Appends the encoded state of @agent to @out. */
void handover_export(const struct agent *agent, int64_t now_ms,
		     struct strbuf *out);

/**
 * How long the server may still have connections that @agent has not exported,
 * ms: those that an earlier process opened.
 */
int64_t handover_incomplete_ms(const struct agent *agent, int64_t now_ms);

/**
 * Imports the state that the predecessor exported. Connections that are already
 * in the flow table are not changed. Returns false, with nothing imported, when
 * @data is malformed or of another agent or service, or the server has ended.
 */
bool handover_import(struct agent *agent, const uint8_t *data, size_t len,
		     int64_t now_ms);

/**
 * Records that the state that was imported is that of the direct predecessor:
 * the flow table may lack connections of the server for @incomplete_ms only.
 */
void handover_confirm(struct agent *agent, int64_t incomplete_ms,
		      int64_t now_ms);

#endif
