#ifndef TARRAGONFLOW_RUN_ROLE_H
#define TARRAGONFLOW_RUN_ROLE_H

#include "tarragonflow/commands/command.h"
#include "tarragonflow/node/checkpoint_worker.h"
#include "tarragonflow/node/handover_listener.h"
#include "tarragonflow/node/packet_worker.h"

/** A running balancer or agent. */
struct role {
	/** Settings file, read again when it changes and on SIGHUP. */
	const char *settings_path;
	struct settings settings;
	struct node node;
	struct packet_worker packet_worker;
	/** Only used by agents with the setting `handover`. */
	struct handover_listener handover_listener;
	/** Only used by agents with the setting `flow_lifetime_s`. */
	struct checkpoint_worker checkpoint_worker;
	/** Serialized connections from a predecessor; empty without one. */
	struct strbuf predecessor_flows;
};

/**
 * Runs a balancer or agent, as @member_role says: serves until SIGTERM or
 * SIGINT, calls @leave to shut down gracefully and stops all threads.
 */
enum status_code run_role(const struct command *command,
			  enum member_role member_role,
			  void (*leave)(struct role *role), int argc,
			  char **argv, struct status *status);

/**
 * Reads the settings file again and applies the settings that can change
 * without a restart. Logs which settings changed and which need a restart. A
 * file with an error changes nothing.
 */
void role_reload(struct role *role);

#endif
