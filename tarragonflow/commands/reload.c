#include <glib.h>

#include "run_role.h"
#include "tarragonflow/common/log.h"

/* Settings that apply without a restart, besides the keys. */
static const char *const reloadable[] = {
	"log_connections",
	"log_level",
	"stop_grace_s",
	"zone_bound_ms",
};

static bool is_reloadable(const struct field *field)
{
	for (size_t i = 0; i < G_N_ELEMENTS(reloadable); i++)
		if (!g_strcmp0(field->name, reloadable[i]))
			return true;
	return false;
}

static void append_name(GString *names, const char *name)
{
	if (names->len)
		g_string_append_c(names, ',');
	g_string_append(names, name);
}

static void compare_fields(const struct field *fields, size_t n,
			   const struct settings *old,
			   const struct settings *loaded, GString *changed,
			   GString *needs_restart)
{
	for (size_t i = 0; i < n; i++)
		if (!field_equal(&fields[i], old, loaded))
			append_name(is_reloadable(&fields[i]) ? changed
							      : needs_restart,
				    fields[i].name);
}

static bool same_seeds(const struct settings *a, const struct settings *b)
{
	if (a->n_seeds != b->n_seeds)
		return false;
	for (size_t i = 0; i < a->n_seeds; i++)
		if (!endpoint_equal(&a->seeds[i], &b->seeds[i]))
			return false;
	return true;
}

static void apply_keys(struct role *role, const struct settings *loaded)
{
	packet_worker_set_keys(&role->packet_worker, &loaded->data_keys);
	pthread_mutex_lock(&role->node.lock);
	control_set_keys(&role->node.control, &loaded->control_keys);
	pthread_mutex_unlock(&role->node.lock);
}

static void apply_values(struct role *role, const struct settings *loaded)
{
	struct settings *settings = &role->settings;

	settings->log_level = loaded->log_level;
	settings->log_connections = loaded->log_connections;
	settings->stop_grace_ms = loaded->stop_grace_ms;
	settings->linger_ms = loaded->linger_ms;
	settings->zone_bound_ms = loaded->zone_bound_ms;
	settings->zone_grace_ms = loaded->zone_grace_ms;
	log_set_threshold((enum log_level)loaded->log_level);
	atomic_store(&role->packet_worker.log_connections,
		     loaded->log_connections);
	pthread_mutex_lock(&role->node.lock);
	role->node.control.options.zone_grace_ms = loaded->zone_grace_ms;
	pthread_mutex_unlock(&role->node.lock);
}

void role_reload(struct role *role)
{
	struct settings loaded;
	struct status status;
	GString *changed, *needs_restart;

	status_init(&status);
	if (settings_load(&loaded, role->settings.role, role->settings_path,
			  &status) != STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "reload-refused", "reason=\"%s\"",
			  status.message);
		return;
	}
	changed = g_string_new(NULL);
	needs_restart = g_string_new(NULL);
	compare_fields(settings_fields, settings_n_fields, &role->settings,
		       &loaded, changed, needs_restart);
	if (role->settings.role == MEMBER_AGENT)
		compare_fields(settings_agent_fields, settings_n_agent_fields,
			       &role->settings, &loaded, changed,
			       needs_restart);
	if (!same_seeds(&role->settings, &loaded))
		append_name(needs_restart, "seeds");
	apply_keys(role, &loaded);
	apply_values(role, &loaded);
	log_event(LOG_LEVEL_INFO, "settings-reloaded",
		  "changed=%s needs_restart=%s data_keys=%zu control_keys=%zu",
		  changed->len ? changed->str : "-",
		  needs_restart->len ? needs_restart->str : "-",
		  loaded.data_keys.n, loaded.control_keys.n);
	g_string_free(changed, TRUE);
	g_string_free(needs_restart, TRUE);
	keyring_finish(&loaded.data_keys);
	keyring_finish(&loaded.control_keys);
}
