#ifndef TARRAGONFLOW_ADMIT_ADMIT_H
#define TARRAGONFLOW_ADMIT_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Admission of new connections at the one backend server that an agent
 * guards. Every start is cold: the limit begins at a small share of the
 * server's connections and rises only on proven success.
 */
enum admit_verdict {
	ADMIT_YES,
	ADMIT_FULL,
	ADMIT_COLD,
	ADMIT_DRAINING,
};

struct admit {
	/** Connections of the warm server. */
	uint32_t connections_max;
	/** Connections allowed now. */
	uint32_t limit;
	/** Connections open now. */
	uint32_t open;
	/** Connections that the server answered since the last step. */
	uint32_t answered;
	/** Next time the limit may rise, ms. */
	int64_t next_step_ms;
	bool draining;
};

/** Share of the warm limit that a cold server starts with, 1/64. */
#define ADMIT_COLD_SHARE 64

/** Time between two rises of the limit, ms. */
#define ADMIT_STEP_MS 1000

void admit_init(struct admit *admit, uint32_t connections_max, int64_t now_ms);

/** Asks for one more connection; counts it when the answer is yes. */
enum admit_verdict admit_open(struct admit *admit);

/** A connection ended. */
void admit_close(struct admit *admit);

/** The server answered a new connection. */
void admit_answered(struct admit *admit);

/** The server gave signs of a cold start: back to the cold limit. */
void admit_turn_cold(struct admit *admit, int64_t now_ms);

/** Takes nothing new from now on. */
void admit_drain(struct admit *admit);

/** Moves the limit when its time has come. */
void admit_tick(struct admit *admit, int64_t now_ms);

#endif
