#ifndef TARRAGONFLOW_FLOW_REPORT_GATE_H
#define TARRAGONFLOW_FLOW_REPORT_GATE_H

#include "tarragonflow/flow/server_watch.h"

/** Servers whose reports are held back at the same time: a successor and
 * others that report here by mistake. */
#define REPORT_GATE_HELD_MAX 4

/** Reports of one server that were held back since a report was accepted, each
 * at least half an interval after the one before. */
struct held_reports {
	uint32_t n;
	/** The last one, and when it arrived, ms. */
	struct server_report last;
	int64_t last_ms;
};

/**
 * Holds back server reports that contradict the known server at an address: of
 * another server, of another start, with another service, or with a number that
 * it can't have reached. One message doesn't show that the known server has
 * been replaced: it may be of another writer, misaddressed or late. It is
 * accepted when the known server has ended, or a successor's after the known
 * one has announced its end; else when it is repeated while the known server is
 * overdue. The silence alone isn't enough, because this process may have been
 * paused. A server that by its start time may have run beside the known one has
 * to repeat its report while three reports of the known server are missing in a
 * row: one or two may be lost, and it may report all the time. Pure functions.
 */
struct report_gate {
	/** Service of the last accepted report, first that of the settings. */
	struct name service;
	/** Time between two server reports, ms; 0: unknown. */
	int64_t report_interval_ms;
	/** The servers that reported last without being accepted. */
	struct held_reports held[REPORT_GATE_HELD_MAX];
};

void report_gate_init(struct report_gate *gate, const struct name *service,
		      int64_t report_interval_ms);

/**
 * Whether @report may be processed. @known is the state of the known server.
 * Sets report->confirmed if the report is accepted because it was repeated.
 */
bool report_gate_accepts(struct report_gate *gate,
			 const struct server_watch *known,
			 struct server_report *report, int64_t now_ms);

/** The field in which @report contradicts the known server, as it is called in
 * messages, or NULL. */
const char *report_gate_contradiction(const struct report_gate *gate,
				      const struct server_watch *known,
				      const struct server_report *report,
				      int64_t now_ms);

#endif
