#ifndef TARRAGONFLOW_ADMIT_ADMIT_H
#define TARRAGONFLOW_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Whether a new connection or request is admitted, and why not. */
enum admit_verdict {
	ADMIT_ACCEPTED,
	/** All connections or slots of the warm server are in use. */
	ADMIT_FULL,
	/** The cold server may take no more connections or requests now. */
	ADMIT_COLD,
	ADMIT_DRAINING,
	/** The server refused or failed connections; see down_until_ms. */
	ADMIT_DOWN,
	/** The server has sent no report, or its last report expired. */
	ADMIT_NO_REPORT,
};

/** Recently opened connections whose time is kept, because their requests may
 * not have arrived. */
#define ADMIT_RECENT_OPENS 32

/**
 * Admission of new connections and of running requests at the backend server
 * of one agent; both are counted exactly. Slow start: every server starts
 * cold, with a limit of one slot and a small share of the connections. The
 * limit rises only after successful responses and drops back immediately on
 * signs that the server is cold. Open connections are never closed.
 */
struct admit {
	/** Connections that the warm server accepts. */
	uint32_t connections_max;
	/** Connections allowed now. */
	uint32_t limit;
	/** Open connections, and their maximum since the last limit update. */
	uint32_t open, peak_open;
	/**
	 * Connections from before a restart of the server without a response
	 * since then: not part of `open`, because most of them are gone.
	 */
	uint32_t unconfirmed;
	/** Requests that the warm server runs concurrently. */
	uint32_t slots_max;
	/** Slots acquired with admit_acquire_slot(). */
	uint32_t slots_used;
	/** Signals since the last limit update: good and slow responses,
	 * connections reset and accepted by the server. */
	uint32_t good_signals, slow_signals, reset_signals, accept_signals;
	/** When the last slow signal was counted, ms. */
	int64_t last_slow_ms;
	/** Usual response time, ms; 0: unknown. */
	double usual_ms;
	/** Response time up to which a server counts as warm while usual_ms is
	 * unknown, ms. */
	int64_t answer_ms;
	/** Next time the limit may rise, ms. */
	int64_t next_increase_ms;
	/** Last time of a good response or of a reset to cold, ms. */
	int64_t last_good_ms;
	/** No new connections are admitted before this time, ms. */
	int64_t down_until_ms;
	/** Pause after the next refusal by the server, ms. */
	int64_t back_off_ms;
	bool draining;
	/** The server reports its state, so the limit ignores the signals. */
	bool has_server_report;
	/** End of the warm-up that the server reported, ms. */
	int64_t cold_until_ms;
	/** Shortest time between new connections to a cold server, ms; 0: no
	 * limit. */
	int64_t cold_open_interval_ms;
	/** Next time that a cold server may get a connection, ms. */
	int64_t next_cold_open_ms;
	/** Opening packets that wait for a slot. */
	uint32_t waiting;
	/** Requests at the server, queued or running. */
	uint32_t running;
	/** Mean of `running` over about a second, and when it was updated, ms.
	 */
	double mean_running;
	int64_t mean_updated_ms;
	/** Moving average of the response time, ms; 0: unknown. */
	double mean_response_ms;
	/** Moving average of the share of requests whose connections the server
	 * aborted before its response. */
	double failure_rate;
	/** The server is down (down_until_ms) because of its failure rate. */
	bool down_by_failures;
	/** The server has responded since the last admit_compare_peers(). */
	bool responded;
	/** How many times slower the server is than its peers, at least 1. */
	double slow_factor;
	/** When the latest connections were opened, ms; a ring buffer. */
	int64_t recent_opens_ms[ADMIT_RECENT_OPENS];
	/** Connections opened so far; its remainder is the ring's next index.
	 */
	size_t next_recent_open;
};

/** Load of a server with all slots in use. */
#define ADMIT_LOAD_SLOTS_FULL 15000

/** A cold server starts with 1/64 of the warm limit. */
#define ADMIT_COLD_DIVISOR 64

/** Time between two increases of the limit, ms. */
#define ADMIT_INCREASE_INTERVAL_MS 1000

void admit_init(struct admit *admit, uint32_t connections_max,
		uint32_t slots_max, int64_t now_ms);

/**
 * Applies a report of the server: it runs @slots requests concurrently, is
 * cold for @warm_in_ms, and while cold accepts @cold_per_s new connections per
 * second (0: no limit).
 */
void admit_apply_report(struct admit *admit, uint32_t slots, int64_t warm_in_ms,
			int64_t cold_per_s, int64_t now_ms);

/**
 * Whether all slots of the server are in use, including by the requests that
 * are expected on connections opened a moment ago. Always false for a server
 * that sends no reports.
 */
bool admit_is_busy(const struct admit *admit, int64_t now_ms);

/** Records a connection opened at the server; its request will follow. */
void admit_record_open(struct admit *admit, int64_t now_ms);

/** Records that a request started (@change 1) or ended (-1) at the server. */
void admit_adjust_running(struct admit *admit, int change, int64_t now_ms);

/** Admits and counts one more connection, or returns why not. */
enum admit_verdict admit_open(struct admit *admit, int64_t now_ms);

/** Counts a connection that is already open, regardless of the limit. */
void admit_add_open(struct admit *admit);

/** Removes a connection that ended from the count. */
void admit_close(struct admit *admit);

/** Makes all open connections unconfirmed after a restart of the server. */
void admit_handle_restart(struct admit *admit);

/** Counts an unconfirmed connection as open: the server responded on it. */
void admit_confirm(struct admit *admit);

/** Removes an unconfirmed connection that ended from the count. */
void admit_close_unconfirmed(struct admit *admit);

/** Admits and counts one more running request, or returns why not. */
enum admit_verdict admit_acquire_slot(struct admit *admit, int64_t now_ms);

/** Returns a slot acquired with admit_acquire_slot(). */
void admit_release_slot(struct admit *admit);

/** Connections that a cold server may have. */
uint32_t admit_cold_limit(const struct admit *admit);

/** Concurrent requests allowed now: slots_max scaled by the limit. */
uint32_t admit_slot_limit(const struct admit *admit);

/** Resets the limit to that of a cold start, except for a server that sends
 * reports; the usual response time is kept. */
void admit_enter_cold(struct admit *admit, int64_t now_ms);

/**
 * Records that the server accepted a connection. A weak signal, since a cold
 * server also accepts quickly.
 */
void admit_record_accept(struct admit *admit);

/** Records that the server sent a payload without a request. */
void admit_record_push(struct admit *admit);

/** Records that the server responded to a request after @took_ms. */
void admit_record_response(struct admit *admit, int64_t took_ms,
			   int64_t now_ms);

/** Records an opening packet that the server did not respond to in time. */
void admit_record_no_response(struct admit *admit, int64_t now_ms);

/** Records that the server reset a connection; returns true when this reset
 * the limit to that of a cold start. */
bool admit_record_reset(struct admit *admit, int64_t now_ms);

/**
 * Records that the server aborted a connection with an outstanding request.
 * Returns true when the server starts to count as failing.
 *
 * Load pattern: a server that is up but fails every request immediately has
 * nothing running and therefore attracts more than its share. A server that
 * aborted most of its latest requests gets only occasional connections until
 * it responds again.
 */
bool admit_record_abort(struct admit *admit, int64_t now_ms);

/** Whether the server aborts most requests. */
bool admit_is_failing(const struct admit *admit);

/** Records that the server returned an opening packet: it has no free capacity
 * at the moment. */
void admit_record_return(struct admit *admit, int64_t now_ms);

/** Records that the server refused a connection. */
void admit_record_refusal(struct admit *admit, int64_t now_ms);

/** Lowers the usual response time to @usual_ms, reported by the agent of
 * another server of the service; 0 is ignored. */
void admit_update_usual(struct admit *admit, uint16_t usual_ms);

/**
 * Compares the server with the mean response times @peers_ms of its peers: a
 * slower server gets a higher load. Call once a second: a slow server without
 * responses counts as a little less slow each time, so that it gets some
 * connections to show whether it has recovered.
 */
void admit_compare_peers(struct admit *admit, uint16_t *peers_ms, size_t n);

/** Load to compare with other servers: 0 to PACKET_LOAD_SCALE, or
 * PACKET_LOAD_FULL when no connection is admitted. */
uint16_t admit_load(const struct admit *admit, int64_t now_ms);

/** Load that one open connection adds. */
uint16_t admit_load_per_connection(const struct admit *admit);

/** Admits no new connections from now on. */
void admit_drain(struct admit *admit);

/** Admits new connections again: another server process has started. */
void admit_undrain(struct admit *admit);

/** Updates the limit when next_increase_ms has come. */
void admit_tick(struct admit *admit, int64_t now_ms);

#endif
