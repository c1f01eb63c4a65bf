#include <glib.h>

#include "run_role.h"
#include "tarragonflow/common/log.h"

/* Settings that a running role takes; the keys are compared by themselves. */
static const char *const live[] = {
	"log_connections",
	"log_level",
	"stop_grace_s",
	"zone_bound_ms",
};

static bool is_live(const struct field *field)
{
	for (size_t i = 0; i < G_N_ELEMENTS(live); i++)
		if (!g_strcmp0(field->name, live[i]))
			return true;
	return false;
}

static void append(GString *names, const char *name)
{
	if (names->len)
		g_string_append_c(names, ',');
	g_string_append(names, name);
}

static void compare_fields(const struct field *fields, size_t n,
			   const struct settings *old,
			   const struct settings *fresh, GString *taken,
			   GString *waiting)
{
	for (size_t i = 0; i < n; i++)
		if (!field_equal(&fields[i], old, fresh))
			append(is_live(&fields[i]) ? taken : waiting,
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

static void take_keys(struct role *role, const struct settings *fresh)
{
	packet_duty_set_keys(&role->duty, &fresh->data_keys);
	pthread_mutex_lock(&role->node.lock);
	control_set_keys(&role->node.control, &fresh->control_keys);
	pthread_mutex_unlock(&role->node.lock);
}

static void take_values(struct role *role, const struct settings *fresh)
{
	struct settings *settings = &role->settings;

	settings->log_level = fresh->log_level;
	settings->log_connections = fresh->log_connections;
	settings->stop_grace_ms = fresh->stop_grace_ms;
	settings->linger_ms = fresh->linger_ms;
	settings->zone_bound_ms = fresh->zone_bound_ms;
	settings->zone_grace_ms = fresh->zone_grace_ms;
	log_set_threshold((enum log_level)fresh->log_level);
	atomic_store(&role->duty.log_connections, fresh->log_connections);
	pthread_mutex_lock(&role->node.lock);
	role->node.control.options.zone_grace_ms = fresh->zone_grace_ms;
	pthread_mutex_unlock(&role->node.lock);
}

void role_reload(struct role *role)
{
	struct settings fresh;
	struct status status;
	GString *taken, *waiting;

	status_init(&status);
	if (settings_load(&fresh, role->settings.role, role->path, &status) !=
	    STATUS_OK) {
		log_event(LOG_LEVEL_ERROR, "reload-refused", "reason=\"%s\"",
			  status.message);
		return;
	}
	taken = g_string_new(NULL);
	waiting = g_string_new(NULL);
	compare_fields(settings_fields, settings_n_fields, &role->settings,
		       &fresh, taken, waiting);
	if (role->settings.role == MEMBER_AGENT)
		compare_fields(settings_agent_fields, settings_n_agent_fields,
			       &role->settings, &fresh, taken, waiting);
	if (!same_seeds(&role->settings, &fresh))
		append(waiting, "seeds");
	take_keys(role, &fresh);
	take_values(role, &fresh);
	log_event(LOG_LEVEL_INFO, "settings-reloaded",
		  "changed=%s needs_restart=%s data_keys=%zu control_keys=%zu",
		  taken->len ? taken->str : "-",
		  waiting->len ? waiting->str : "-", fresh.data_keys.n,
		  fresh.control_keys.n);
	g_string_free(taken, TRUE);
	g_string_free(waiting, TRUE);
	keyring_finish(&fresh.data_keys);
	keyring_finish(&fresh.control_keys);
}
