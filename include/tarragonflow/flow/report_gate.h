#ifndef TARRAGONFLOW_FLOW_REPORT_GATE_H
#define TARRAGONFLOW_FLOW_REPORT_GATE_H

#include "tarragonflow/flow/server_watch.h"

/**
 * Holds back server reports that contradict the known server at an address.
 * Such a report is of another server, of another start, or names another
 * service. One message alone doesn't show that the known server has been
 * replaced: it may be of another writer, misaddressed or late. It is accepted
 * when the known server has ended or is overdue, or when it is repeated before
 * the known server reports again. Pure functions.
 */
struct report_gate {
	/** Service of the last accepted report, first that of the settings. */
	struct name service;
	/** Time between two server reports, ms; 0: unknown. */
	int64_t report_interval_ms;
	/** The last report that was held back, if the known server has not
	 * reported since. */
	bool has_held;
	struct server_report held;
};

void report_gate_init(struct report_gate *gate, const struct name *service,
		      int64_t report_interval_ms);

/**
 * Whether @report may be processed. @known is the state of the known server;
 * @refuses: it has refused connections since its last sign of life. Sets
 * report->confirmed if the report is accepted because it was repeated.
 */
bool report_gate_accepts(struct report_gate *gate,
			 const struct server_watch *known, bool refuses,
			 struct server_report *report, int64_t now_ms);

/** The field of @report that contradicts the known server, as it is called in
 * messages. */
const char *report_gate_contradicted_field(const struct report_gate *gate,
					   const struct server_watch *known,
					   const struct server_report *report);

#endif
