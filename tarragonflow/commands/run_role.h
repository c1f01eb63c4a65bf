#ifndef TARRAGONFLOW_RUN_ROLE_H
#define TARRAGONFLOW_RUN_ROLE_H

#include "tarragonflow/commands/command.h"
#include "tarragonflow/node/handover_duty.h"
#include "tarragonflow/node/packet_duty.h"

/** A running balancer or agent. */
struct role {
	/** File of the settings, read again when it changes and on
	 * SIGHUP. */
	const char *path;
	struct settings settings;
	struct node node;
	struct packet_duty duty;
	/** Agents with a handover address only. */
	struct handover_duty handover;
	/** What a predecessor handed over; empty without one. */
	struct strbuf inherited;
};

/**
 * Runs a role until SIGTERM, then @leave, then ends it. Shared by the
 * balancer and agent commands.
 */
enum status_code run_role(const struct command *command,
			  enum member_role member_role,
			  void (*leave)(struct role *role), int argc,
			  char **argv, struct status *status);

/**
 * Reads the settings again and takes those that can change while the role
 * runs; the line that it logs names them, and those that need a restart. A
 * file with an error changes nothing.
 */
void role_reload(struct role *role);

#endif
