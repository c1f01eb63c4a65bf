#ifndef TARRAGONFLOW_ADMIT_ADMIT_H
#define TARRAGONFLOW_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Admission of new connections and of running requests at the one backend
 * server that an agent guards; both are counted here, exactly. Every start
 * is cold: the limits begin at one slot and a small share of the
 * connections, rise only on proven success, and fall back at once on signs
 * of a cold spell. What is open stays open.
 */
enum admit_verdict {
	ADMIT_YES,
	/** All connections or slots of the warm server are in use. */
	ADMIT_FULL,
	/** All that the server may take while it is cold are in use. */
	ADMIT_COLD,
	ADMIT_DRAINING,
	/** The server refused connections; see down_until_ms. */
	ADMIT_DOWN,
	/** The server has not reported, or its report ran out. */
	ADMIT_UNHEARD,
};

/** Opens that are remembered until their requests are here. */
#define ADMIT_OPENED 32

struct admit {
	/** Connections of the warm server. */
	uint32_t connections_max;
	/** Connections allowed now. */
	uint32_t limit;
	/** Connections open now, and the most since the last step. */
	uint32_t open, peak;
	/**
	 * Connections from before a restart of the server that it has not
	 * answered on since: not part of `open`, as most of them are gone.
	 */
	uint32_t unproven;
	/** Requests that the warm server runs at once. */
	uint32_t slots_max;
	/** Requests running now. */
	uint32_t slots_used;
	/** Signs since the last step. */
	uint32_t good, slow, resets, accepted;
	/** When the last sign of slowness was counted, ms. */
	int64_t last_slow_ms;
	/** Usual time of an answer, ms; 0 is unknown. */
	double usual_ms;
	/** What proves a warm server while usual_ms is unknown, ms. */
	int64_t answer_ms;
	/** Next time the limit may rise, ms. */
	int64_t next_step_ms;
	/** Last time of a good answer or a turn to cold, ms. */
	int64_t last_good_ms;
	/** Takes nothing new before this time, ms. */
	int64_t down_until_ms;
	/** Next wait after a refusal by the server, ms. */
	int64_t back_off_ms;
	bool draining;
	/** The server tells how cold it is, so nothing is learnt from signs. */
	bool reported;
	/** Until then the server is cold by its own word, ms. */
	int64_t cold_until_ms;
	/** Time between two connections of a cold server, ms. */
	int64_t cold_gap_ms;
	/** Next time that a cold server may get a connection, ms. */
	int64_t next_cold_ms;
	/** Opening packets that wait for a slot. */
	uint32_t waiting;
	/** Requests that wait for an answer or run. */
	uint32_t running;
	/** Their mean over about a second, and when it was computed last, ms.
	 */
	double mean_running;
	int64_t mean_ms;
	/** Mean time of the latest answers, ms. */
	double mean_answer_ms;
	/** Share of the latest requests whose connections the server broke off.
	 */
	double broken_share;
	/** down_until_ms is due to such requests. */
	bool trial;
	/** The server has answered since the last comparison. */
	bool answered;
	/** How many times slower the server is than its peers, or 1. */
	double slow_factor;
	/** When the latest connections were opened, ms; a ring. */
	int64_t opened_ms[ADMIT_OPENED];
	size_t next_opened;
};

/** All slots of a server in use, as a load. */
#define ADMIT_LOAD_BUSY 15000

/** Share of the warm limit that a cold server starts with, 1/64. */
#define ADMIT_COLD_SHARE 64

/** Time between two rises of the limit, ms. */
#define ADMIT_STEP_MS 1000

void admit_init(struct admit *admit, uint32_t connections_max,
		uint32_t slots_max, int64_t now_ms);

/**
 * Takes the server's word: @slots requests at once, cold for @warm_in_ms,
 * and while cold @cold_per_s new connections a second (0: no limit known).
 */
void admit_report(struct admit *admit, uint32_t slots, int64_t warm_in_ms,
		  int64_t cold_per_s, int64_t now_ms);

/**
 * Whether the server has as many requests as it runs at once, counting those
 * of connections that were opened a moment ago.
 */
bool admit_busy(const struct admit *admit, int64_t now_ms);

/** A connection was opened at the server, whose request follows. */
void admit_opened(struct admit *admit, int64_t now_ms);

/** A request began (@change 1) or ended (-1) at the server. */
void admit_running(struct admit *admit, int change, int64_t now_ms);

/** Asks for one more connection; counts it when the answer is yes. */
enum admit_verdict admit_open(struct admit *admit, int64_t now_ms);

/** Counts a connection that is open already, whatever the limit. */
void admit_take_over(struct admit *admit);

/** A connection ended. */
void admit_close(struct admit *admit);

/** The server restarted: what is open is unproven from now on. */
void admit_restarted(struct admit *admit);

/** The server answered on an unproven connection. */
void admit_proven(struct admit *admit);

/** An unproven connection ended. */
void admit_close_unproven(struct admit *admit);

/** Asks for a slot; counts it when the answer is yes. */
enum admit_verdict admit_slot_take(struct admit *admit, int64_t now_ms);

void admit_slot_release(struct admit *admit);

/** Connections that a cold server may have. */
uint32_t admit_cold_limit(const struct admit *admit);

/** Requests allowed at once now. */
uint32_t admit_slots(const struct admit *admit);

/** Back to the limit of a cold start; what was learned stays. */
void admit_turn_cold(struct admit *admit, int64_t now_ms);

/**
 * The server accepted a connection. A cold one does that quickly too, so it
 * proves little.
 */
void admit_accepted(struct admit *admit);

/** The server sent a payload that no caller waited for. */
void admit_pushed(struct admit *admit);

/** The server answered a payload of a caller after @took_ms. */
void admit_answered(struct admit *admit, int64_t took_ms, int64_t now_ms);

/** The server left an opening packet without an answer. */
void admit_unanswered(struct admit *admit, int64_t now_ms);

/** The server reset a connection; returns true when it turned cold. */
bool admit_reset(struct admit *admit, int64_t now_ms);

/**
 * The server broke a connection off that waited for an answer.
 *
 * Load pattern: a server is up and fails what it gets at once, so it has
 * nothing running and draws more than its share. One that broke off most of
 * the latest gets a connection now and then, until it answers again. True when
 * that begins.
 */
bool admit_broke_off(struct admit *admit, int64_t now_ms);

/** Whether the server breaks off most of what it gets. */
bool admit_fails(const struct admit *admit);

/** The server gave an opening packet back: it has no room just now. */
void admit_returned(struct admit *admit, int64_t now_ms);

/** The server refused a connection. */
void admit_refused(struct admit *admit, int64_t now_ms);

/** The agent of another server of the service told its usual time, ms. */
void admit_hear_usual(struct admit *admit, uint16_t usual_ms);

/**
 * Compares the server with its peers, whose mean times of answers are
 * @peers_ms: a slower one counts as busier. To be called once a second: a
 * server that has no answers is taken for a little less slow each time, so
 * that it gets some connections to show that it has recovered.
 */
void admit_compare(struct admit *admit, uint16_t *peers_ms, size_t n);

/** Load to compare with others: 0 to PACKET_LOAD_SCALE, or _FULL. */
uint16_t admit_load(const struct admit *admit, int64_t now_ms);

/** The load of one connection. */
uint16_t admit_load_unit(const struct admit *admit);

/** Takes nothing new from now on. */
void admit_drain(struct admit *admit);

/** Takes new connections again: another server has started. */
void admit_undrain(struct admit *admit);

/** Moves the limit when its time has come. */
void admit_tick(struct admit *admit, int64_t now_ms);

#endif
