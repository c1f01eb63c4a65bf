#ifndef TARRAGONFLOW_NODE_SETTINGS_H
#define TARRAGONFLOW_NODE_SETTINGS_H

#include "tarragonflow/common/json_reader.h"
#include "tarragonflow/common/keyring.h"
#include "tarragonflow/control/control.h"
#include "tarragonflow/net/endpoint.h"
#include "tarragonflow/roster/roster.h"

/**
 * The settings of one balancer or agent process: its identity and addresses.
 * The services are in the manifest. docs/SETTINGS.md lists the fields.
 */
struct settings {
	enum member_role role;
	struct name name;
	struct name zone;
	struct name deployment;
	/** UDP address for packets from balancers, agents and the fabric. */
	struct endpoint data;
	/** UDP address for control messages; TCP for pull requests. */
	struct endpoint control;
	/** TCP address of the admin API. */
	struct endpoint admin;
	/** Token for admin requests that change state; empty: none allowed. */
	struct json_text admin_token;
	/** URL of the platform's object store. */
	struct json_text platform;
	struct endpoint seeds[CONTROL_SEEDS_MAX];
	size_t n_seeds;
	/** Replaces the port of every seed; 0: keep the ports of `seeds`. */
	int64_t seed_port;
	/** Index into settings_adapters. */
	int adapter;
	/**
	 * More TCP addresses of the HTTP listener, besides `admin`: for the
	 * fabric's readiness probes, and for server reports.
	 */
	struct endpoint ready;
	struct endpoint announce;
	/** Time from SIGTERM until the process is killed, ms. */
	int64_t stop_grace_ms;
	/** Bandwidth of the VM's link, kbit/s; 0: no limit. */
	int64_t link_kbit_per_s;
	/** Time a balancer keeps forwarding after SIGTERM, ms; derived. */
	int64_t linger_ms;
	/** Time until no traffic reaches a zone put out of service, ms. */
	int64_t zone_bound_ms;
	/** Time that connections in a zone out of service last, ms; derived. */
	int64_t zone_grace_ms;
	struct keyring control_keys;
	int64_t control_bytes_per_s;
	struct keyring data_keys;
	/** Largest IP packet between balancers and agents, bytes. */
	int64_t mtu;
	/** TUN interface towards the fabric, instead of UDP; empty: none. */
	struct json_text fabric_tun;
	/** Balancers: separate UDP address for callers' packets. */
	struct endpoint fabric_listen;
	/** One of enum placement. */
	int placement;
	int log_level;
	/** Whether decisions about connections are logged. */
	bool log_connections;
	/** Service of the backend server. This and all below: agents only. */
	struct name service;
	/** UDP address of the server, and own address for its packets. */
	struct endpoint server;
	struct endpoint server_listen;
	/** TUN interface towards the server, instead of UDP; empty: none. */
	struct json_text server_tun;
	/** UDP address of the fabric for responses to callers. */
	struct endpoint fabric;
	/** Send responses to the caller's address, at the port of `fabric`. */
	bool fabric_at_caller;
	/** Minimum time before another server can get the same address, ms. */
	int64_t address_reuse_ms;
	/** Time for which a server report is valid, ms; derived. */
	int64_t report_lease_ms;
	/**
	 * Longest life of a connection, ms; 0: connections do not survive a
	 * restart of the agent.
	 */
	int64_t flow_lifetime_ms;
	/** Time between two reports of the backend server, ms; 0: unknown. */
	int64_t report_interval_ms;
	/** Connections that the server can carry once it is warm. */
	int64_t connections;
	/** Requests that the server runs concurrently. */
	int64_t slots;
	/** Longest time that connections are kept after SIGTERM, s. */
	int64_t drain_deadline_s;
	/** TCP address where a successor connects; port 0: no hand-over. */
	struct endpoint handover;
};

/** What the load of a server counts, by which new connections are placed. */
enum placement {
	/** Running and waiting requests. */
	PLACEMENT_REQUESTS = 0,
	/** The work left, see work_left(). */
	PLACEMENT_WORK = 1,
};

/** Reads and validates @root for @role; adds every error to @errors. */
void settings_read(struct settings *settings, enum member_role role,
		   const json_t *root, struct json_errors *errors);

/** Reads and validates the file @path; on STATUS_INVALID lists all errors. */
enum status_code settings_load(struct settings *settings, enum member_role role,
			       const char *path, struct status *status);

/** Values of the setting `adapter`; NULL-terminated. */
extern const char *const settings_adapters[];

/** Fields of both roles, and of agents only; a test checks docs/SETTINGS.md. */
extern const struct field settings_fields[];
extern const size_t settings_n_fields;
extern const struct field settings_agent_fields[];
extern const size_t settings_n_agent_fields;

#endif
