#ifndef TARRAGONFLOW_ADMIT_ADMIT_H
#define TARRAGONFLOW_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tarragonflow/admit/cost.h"

/** Whether a new connection or request is admitted, and why not. */
enum admit_verdict {
	ADMIT_ACCEPTED,
	/** All connections or slots that the server has when warm are in use.
	 */
	ADMIT_FULL,
	/** The server is cold and gets no more connections or requests now. */
	ADMIT_COLD,
	/** The server accepts no new connections, see admit_drain(). */
	ADMIT_DRAINING,
	/** The server refused, returned or aborted connections; see
	 * down_until_ms. */
	ADMIT_DOWN,
	/** There is no server report, or the last one has expired. */
	ADMIT_NO_REPORT,
};

/** Number of connections whose opening time is stored: their first requests may
 * not have arrived yet. */
#define ADMIT_LATEST_OPENS 32

/**
 * Admission of new connections and of running requests at the backend server
 * of one agent; both are counted exactly.
 *
 * Slow start: every server starts cold, with one slot and a small share of its
 * connections. The limit rises only after responses at the usual speed, and is
 * reset immediately when the server seems to be cold again. Open connections
 * are never closed. Exception: the state of a server that sends server reports
 * is taken from these.
 */
struct admit {
	/** Connections that the server accepts when it is warm. */
	uint32_t connections_max;
	/** Connections that may be open now; at most connections_max. */
	uint32_t limit;
	/** Open connections, and their maximum since the last limit update. */
	uint32_t open, peak_open;
	/**
	 * Connections opened before a suspected restart of the server, which
	 * has sent no packet of them since: not counted in `open`, because most
	 * of them are lost.
	 */
	uint32_t unconfirmed;
	/** Requests that the server runs concurrently when it is warm. */
	uint32_t slots_max;
	/** Slots in use, see admit_acquire_slot(). */
	uint32_t slots_used;
	/** Counts since the last update of the limit: responses at the usual
	 * speed, slow responses, and connections that the server has reset and
	 * accepted. */
	uint32_t good_signals, slow_signals, reset_signals, accept_signals;
	/** When slow_signals was last increased, ms. */
	int64_t last_slow_ms;
	/** Usual response time of the service's servers, ms; 0: unknown. */
	double usual_ms;
	/** While usual_ms is unknown: response time up to which the server
	 * counts as warm, ms. */
	int64_t warm_response_ms;
	/** Next time that the limit may rise, ms. */
	int64_t next_increase_ms;
	/** When the last response at the usual speed arrived, or the limit was
	 * reset to that of a cold server, ms. */
	int64_t last_good_ms;
	/** No new connections are admitted before this time, ms. */
	int64_t down_until_ms;
	/** Time without new connections after the server's next refusal, ms.
	 */
	int64_t refused_pause_ms;
	/** No new connections are admitted, see admit_drain(). */
	bool draining;
	/** A server report has arrived. From then on the limit does not depend
	 * on the counts of signals: it is connections_max, and while the server
	 * is cold new connections are limited in rate. */
	bool has_server_report;
	/** End of the server's warm-up by its last report, ms; CLOCK_NEVER: not
	 * known before the next one, see admit_suspect_cold(). */
	int64_t cold_until_ms;
	/** Shortest time between new connections to a cold server, ms; 0: no
	 * limit. */
	int64_t cold_open_interval_ms;
	/** Next time that a cold server may get a connection, ms. */
	int64_t next_cold_open_ms;
	/** SYNs that wait for a slot. */
	uint32_t waiting;
	/** Requests at the server without a response yet. */
	uint32_t running;
	/** Mean of `running` over about a second, and when it was updated, ms.
	 */
	double mean_running;
	int64_t mean_updated_ms;
	/** Moving average of the response time, ms; 0: unknown. */
	double mean_response_ms;
	/** Moving average of the share of requests that the server did not
	 * respond to but reset the connection. */
	double failure_rate;
	/** The server is down (down_until_ms) because of its failure rate. */
	bool down_by_failures;
	/** The server has responded to a request since the last
	 * admit_compare_peers(). */
	bool responded;
	/** Response time as a multiple of that of the service's other servers;
	 * 1 unless clearly greater. */
	double slow_factor;
	/** Ring buffer: when the latest connections were opened, ms. */
	int64_t latest_opens_ms[ADMIT_LATEST_OPENS];
	/** Connections opened so far; modulo ADMIT_LATEST_OPENS it is the next
	 * index of latest_opens_ms. */
	size_t n_opens;
	/** The load counts the work left, see work_left(), in place of running
	 * and waiting requests. */
	bool by_work;
	/** Costs of the requests at the server. */
	struct cost cost;
};

/** Load of a server with all slots in use. */
#define ADMIT_LOAD_SLOTS_FULL 15000

/** The limit of a cold server is 1/64 of connections_max. */
#define ADMIT_COLD_DIVISOR 64

/** Time between two increases of the limit, ms. */
#define ADMIT_INCREASE_INTERVAL_MS 1000

void admit_init(struct admit *admit, uint32_t connections_max,
		uint32_t slots_max, int64_t now_ms);

/**
 * Applies a server report: the server runs @slots requests concurrently, is
 * cold for @warmup_left_ms, and while cold gets at most @cold_per_s new
 * connections per second (0: no limit).
 */
void admit_apply_report(struct admit *admit, uint32_t slots,
			int64_t warmup_left_ms, int64_t cold_per_s,
			int64_t now_ms);

/** Sets how many new connections per second a cold server gets at most, also
 * for a server that is cold by an earlier report; 0: no limit. */
void admit_limit_cold_opens(struct admit *admit, int64_t cold_per_s);

/**
 * Treats a server that sends server reports as cold until its next one: it may
 * have turned cold since the last. No change if cold servers have no limit of
 * new connections.
 */
void admit_suspect_cold(struct admit *admit);

/**
 * Whether all slots of the server are in use, including by the requests that
 * are expected on connections opened a moment ago. Always false for a server
 * that sends no server reports.
 */
bool admit_is_busy(const struct admit *admit, int64_t now_ms);

/** Records that a connection was opened, whose first request will follow. */
void admit_expect_request(struct admit *admit, int64_t now_ms);

/** Records that a request started (@change 1) or ended (-1) at the server. */
void admit_adjust_running(struct admit *admit, int change, int64_t now_ms);

/** Records that a request of the kind @kind of the cost model started. */
void admit_start_request(struct admit *admit, uint8_t kind, int64_t now_ms);

/** Records that a request that started at @started_ms, modulo 2^32, ended: with
 * a response, or without. */
void admit_end_request(struct admit *admit, uint8_t kind, uint32_t started_ms,
		       bool responded, int64_t now_ms);

/** Records that a SYN of the kind @kind waits (@change 1) or no longer does
 * (-1). */
void admit_adjust_waiting(struct admit *admit, uint8_t kind, int change);

/** Forgets the running requests: the server has ended. */
void admit_forget_running(struct admit *admit);

/** Counts one more open connection, or returns why it is not admitted. */
enum admit_verdict admit_connection(struct admit *admit, int64_t now_ms);

/** Counts one more open connection, regardless of the limit. */
void admit_add_connection(struct admit *admit);

/** Counts one less open connection: a connection has ended. */
void admit_remove_connection(struct admit *admit);

/** Moves all open connections to `unconfirmed` after a suspected restart. */
void admit_handle_restart(struct admit *admit);

/** Counts an open connection as unconfirmed. */
void admit_suspect_connection(struct admit *admit);

/** Counts an unconfirmed connection as open: the server sent a packet of it. */
void admit_confirm_connection(struct admit *admit);

/** Counts one less unconfirmed connection: a connection has ended. */
void admit_remove_unconfirmed(struct admit *admit);

/** Acquires a slot for a request, or returns why it is not admitted. */
enum admit_verdict admit_acquire_slot(struct admit *admit, int64_t now_ms);

/** Returns a slot acquired with admit_acquire_slot(). */
void admit_release_slot(struct admit *admit);

/** Limit of open connections of a cold server. */
uint32_t admit_cold_limit(const struct admit *admit);

/** Concurrent requests allowed now: slots_max scaled by the limit. */
uint32_t admit_slot_limit(const struct admit *admit);

/** Resets the limit to that of a cold server, except for a server that sends
 * server reports. Keeps the usual response time. */
void admit_enter_cold(struct admit *admit, int64_t now_ms);

/**
 * Records that the server accepted a connection. A weak signal, since a cold
 * server also accepts quickly.
 */
void admit_record_accept(struct admit *admit);

/** Records that the server sent a payload that no request preceded. */
void admit_record_unrequested_payload(struct admit *admit);

/** Records that the server responded to a request after @response_ms. */
void admit_record_response(struct admit *admit, int64_t response_ms,
			   int64_t now_ms);

/** Records that the server did not respond to a SYN in time. */
void admit_record_no_response(struct admit *admit, int64_t now_ms);

/** Records that the server reset a connection. Returns true when the limit was
 * therefore reset to that of a cold server. */
bool admit_record_reset(struct admit *admit, int64_t now_ms);

/**
 * Records that the server reset a connection instead of responding to a
 * request. Returns true when the server counts as failing from now on.
 *
 * Guards against this load pattern: a server that is up but fails every request
 * immediately has no running requests and therefore the least load, so it gets
 * more than its share of connections. A server that reset the connections of
 * most of its latest requests gets only occasional connections until it
 * responds again.
 */
bool admit_record_abort(struct admit *admit, int64_t now_ms);

/** Whether the server resets the connections of most requests. */
bool admit_is_failing(const struct admit *admit);

/** Records that the server returned a SYN: it has no free capacity at the
 * moment. */
void admit_record_returned_syn(struct admit *admit, int64_t now_ms);

/** Records that the server refused a connection. */
void admit_record_refusal(struct admit *admit, int64_t now_ms);

/** Lowers the usual response time to @usual_ms, reported by the agent of
 * another server of the service; 0 is ignored. */
void admit_update_usual(struct admit *admit, uint16_t usual_ms);

/**
 * Compares the server's mean response time with those of the @n other servers
 * of its service, @peers_ms: the load of a slower server is increased. To be
 * called once a second. Each call after which a slow server has not responded
 * reduces its mean, so that it gets connections that show whether it has
 * recovered.
 */
void admit_compare_peers(struct admit *admit, uint16_t *peers_ms, size_t n);

/** Load for comparison with other servers: 0 to PACKET_LOAD_SCALE, or
 * PACKET_LOAD_FULL when no connection is admitted. */
uint16_t admit_load(const struct admit *admit, int64_t now_ms);

/** Load of one open connection. */
uint16_t admit_load_per_connection(const struct admit *admit);

/** Admits no new connections from now on. */
void admit_drain(struct admit *admit);

/** Admits new connections again after admit_drain(): the server, or another one
 * that replaced it, is ready. */
void admit_undrain(struct admit *admit);

/** Updates the limit when next_increase_ms has come. */
void admit_tick(struct admit *admit, int64_t now_ms);

#endif
