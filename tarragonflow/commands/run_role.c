#include "run_role.h"

#include <unistd.h>

#include "tarragonflow/admin/admin.h"
#include "tarragonflow/common/file_watch.h"
#include "tarragonflow/common/log.h"
#include "tarragonflow/platform/platform.h"

/* Interval at which the settings file is checked, since it may change without
 * SIGHUP; short enough for an operator who waits for the change. */
#define SETTINGS_CHECK_MS 2000

/* Indexed like settings_adapters. */
static const struct adapter *const adapters[] = {
	&adapter_native,
	&adapter_platform,
};

/* Applies changed settings until a signal to stop arrives. */
static void reload_until_stop(struct role *role)
{
	struct file_watch file;
	enum node_signal signal;

	file_watch_init(&file, role->settings_path);
	while ((signal = node_wait_signal(SETTINGS_CHECK_MS)) !=
	       NODE_SIGNAL_STOP)
		if (file_watch_changed(&file) || signal == NODE_SIGNAL_RELOAD)
			role_reload(role);
}

static enum status_code run_workers(struct role *role,
				    void (*leave)(struct role *role),
				    struct status *status)
{
	bool has_checkpoint = role->settings.flow_lifetime_ms;
	struct admin admin;

	if (has_checkpoint &&
	    checkpoint_worker_start(&role->checkpoint_worker, &role->node,
				    status) != STATUS_OK)
		return status->code;
	if (packet_worker_start(&role->packet_worker, &role->node,
				strbuf_str(&role->predecessor_flows),
				status) != STATUS_OK)
		return status->code;
	if (admin_start(&admin, &role->node, status) != STATUS_OK)
		return status->code;
	if (node_start(&role->node, status) != STATUS_OK)
		return status->code;
	if (role->settings.handover.port &&
	    handover_listener_start(&role->handover_listener,
				    &role->settings.handover,
				    status) != STATUS_OK)
		return status->code;
	log_event(LOG_LEVEL_INFO, "started", "name=%s role=%s zone=%s",
		  role->settings.name.data,
		  member_role_name(role->settings.role),
		  role->settings.zone.data);
	reload_until_stop(role);
	log_event(LOG_LEVEL_INFO, "leaving", "name=%s",
		  role->settings.name.data);
	leave(role);
	if (role->node.adapter->exits_immediately) {
		log_event(LOG_LEVEL_INFO, "stopped", "name=%s",
			  role->settings.name.data);
		log_finish();
		_exit(0);
	}
	if (role->settings.handover.port)
		handover_listener_finish(&role->handover_listener);
	if (has_checkpoint)
		checkpoint_worker_finish(&role->checkpoint_worker);
	admin_finish(&admin);
	packet_worker_finish(&role->packet_worker);
	node_finish(&role->node);
	log_event(LOG_LEVEL_INFO, "stopped", "name=%s",
		  role->settings.name.data);
	return STATUS_OK;
}

enum status_code run_role(const struct command *command,
			  enum member_role member_role,
			  void (*leave)(struct role *role), int argc,
			  char **argv, struct status *status)
{
	char *path = NULL;
	const GOptionEntry entries[] = {
		{"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
		 "JSON settings of this process", "FILE"},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	struct role role;

	if (command_parse(command, entries, &argc, &argv, 0, 0, status) !=
	    STATUS_OK)
		return status->code;
	if (!path)
		return status_set(status, STATUS_USAGE,
				  "--settings FILE is missing");
	role.settings_path = path;
	if (settings_load(&role.settings, member_role, path, status) ==
	    STATUS_OK) {
		node_block_signals();
		log_init((enum log_level)role.settings.log_level);
		strbuf_init(&role.predecessor_flows);
		if (role.settings.handover.port)
			handover_fetch(&role.settings.handover,
				       &role.predecessor_flows);
		if (node_init(&role.node, &role.settings,
			      adapters[role.settings.adapter],
			      status) == STATUS_OK)
			run_workers(&role, leave, status);
		strbuf_finish(&role.predecessor_flows);
		log_finish();
	}
	g_free(path);
	return status->code;
}
