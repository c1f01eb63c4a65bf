#include "tarragonflow/node/settings.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/net/tun.h"

#define FIELD_PATH_MAX_BYTES 64
#define LOOPBACK_FIRST_BYTE 127
#define CONNECTIONS_MAX 1000000
#define SLOTS_MAX 10000
#define CONTROL_BYTES_PER_S_MAX (1024 * 1024)
#define DURATION_MAX_MS 600000
/*
 * The fabric probes readiness twice a second and stops sending packets after
 * the second negative response.
 */
#define LINGER_MAX_MS 2500
/* Time left for the shutdown after `linger_ms`. */
#define SHUTDOWN_MARGIN_MS 1000
/* A zone order reaches all processes well within this time. */
#define ORDER_PROPAGATION_MS 2000
/* Transit time of a server report and of the last packet relying on it. */
#define LEASE_MARGIN_MS 100
#define REPORT_INTERVAL_MAX_MS (60 * 1000)
#define FLOW_LIFETIME_MAX_MS (24 * 3600 * 1000)
#define LINK_MAX_KBIT_PER_S (400LL * 1000 * 1000)
#define MTU_MIN 1280
#define MTU_MAX 9000
#define DRAIN_DEADLINE_MAX_S (7 * 24 * 3600)

/* 127.0.0.1:4703 */
static const struct endpoint admin_default = {0x7f000001, 4703};

static const char *const log_levels[] = {"debug", "info", "warn", "error",
					 NULL};

static const char *const settings_placements[] =
	{[PLACEMENT_REQUESTS] = "requests", [PLACEMENT_WORK] = "work", NULL};

const char *const settings_adapters[] = {"native", "platform", NULL};

/* Fields of both roles; settings_agent_fields adds those of agents. */
const struct field settings_fields[] = {
	{.name = "name",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct settings, name),
	 .required = true,
	 .help = "stable name of the process; kept through restarts"},
	{.name = "zone",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct settings, zone),
	 .required = true,
	 .help = "availability zone it runs in"},
	{.name = "deployment",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct settings, deployment),
	 .required = true,
	 .help = "deployment whose manifest it follows"},
	{.name = "data",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, data),
	 .required = true,
	 .help = "UDP address for callers' packets"},
	{.name = "control",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, control),
	 .required = true,
	 .help = "UDP address for control messages"},
	{.name = "admin",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, admin),
	 .help = "TCP address of the admin API"},
	{.name = "admin_token",
	 .type = FIELD_TEXT,
	 .offset = offsetof(struct settings, admin_token),
	 .min = 16,
	 .max = 128,
	 .help = "token for admin requests that change something; none: they "
		 "are refused"},
	{.name = "platform",
	 .type = FIELD_TEXT,
	 .offset = offsetof(struct settings, platform),
	 .required = true,
	 .min = 8,
	 .max = 200,
	 .help = "URL of the platform's object API"},
	{.name = "seeds",
	 .type = FIELD_NESTED,
	 .help = "control addresses of the peers that the process contacts "
		 "first"},
	{.name = "seed_port",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, seed_port),
	 .min = 0,
	 .max = UINT16_MAX,
	 .default_value = 0,
	 .help = "control port used for all seeds in place of their own; 0: "
		 "the ports in `seeds`"},
	{.name = "adapter",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct settings, adapter),
	 .choices = settings_adapters,
	 .default_value = 0,
	 .help = "environment that the process runs in"},
	{.name = "ready",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, ready),
	 .help = "TCP address for the fabric's readiness probes"},
	{.name = "announce",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, announce),
	 .help = "TCP address that receives backend servers' heartbeats"},
	{.name = "fabric_listen",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, fabric_listen),
	 .help = "UDP address only for callers' packets; none: they arrive "
		 "at `data`"},
	{.name = "zone_bound_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, zone_bound_ms),
	 .min = 0,
	 .max = DURATION_MAX_MS,
	 .default_value = 5000,
	 .unit = "ms",
	 .help = "time after which no traffic may reach a zone that an order "
		 "puts out of service; open connections continue for this "
		 "time less 2 s"},
	{.name = "stop_grace_s",
	 .type = FIELD_DECIMAL,
	 .offset = offsetof(struct settings, stop_grace_ms),
	 .min = 0,
	 .max = DURATION_MAX_MS,
	 .default_value = 2000,
	 .unit = "s",
	 .help = "time from SIGTERM to the forced exit; a balancer continues "
		 "to forward for this time less 1 s, at most 2.5 s, until the "
		 "fabric stops sending packets"},
	{.name = "control_keys",
	 .type = FIELD_NESTED,
	 .help = "keys for signing control messages; the first signs, all "
		 "verify"},
	{.name = "control_bytes_per_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, control_bytes_per_s),
	 .min = 1024,
	 .max = CONTROL_BYTES_PER_S_MAX,
	 .default_value = CONTROL_BYTES_PER_S,
	 .unit = "bytes/s",
	 .help = "limit of control bytes that the process sends per second"},
	{.name = "data_keys",
	 .type = FIELD_NESTED,
	 .help = "keys for signing data packets; the first signs, all verify"},
	{.name = "mtu",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, mtu),
	 .min = MTU_MIN,
	 .max = MTU_MAX,
	 .default_value = 1500,
	 .unit = "bytes",
	 .help = "largest IP packet on the path between two processes"},
	{.name = "link_mbit_per_s",
	 .type = FIELD_DECIMAL,
	 .offset = offsetof(struct settings, link_kbit_per_s),
	 .min = 0,
	 .max = LINK_MAX_KBIT_PER_S,
	 .default_value = 0,
	 .unit = "Mbit/s",
	 .help = "capacity of the VM's link; large packets to agents are "
		 "sent at most at this rate; 0: no limit"},
	{.name = "fabric_tun",
	 .type = FIELD_TEXT,
	 .offset = offsetof(struct settings, fabric_tun),
	 .min = 1,
	 .max = TUN_NAME_MAX,
	 .help = "TUN interface to the fabric, instead of UDP"},
	{.name = "placement",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct settings, placement),
	 .choices = settings_placements,
	 .default_value = PLACEMENT_REQUESTS,
	 .help = "what servers are compared by when a connection is opened: "
		 "running and waiting requests, or the work left, learned "
		 "from their response times"},
	{.name = "log_level",
	 .type = FIELD_CHOICE,
	 .offset = offsetof(struct settings, log_level),
	 .choices = log_levels,
	 .default_value = 1,
	 .help = "lowest severity that is logged"},
	{.name = "log_connections",
	 .type = FIELD_BOOL,
	 .offset = offsetof(struct settings, log_connections),
	 .default_value = 0,
	 .help = "whether decisions on connections are logged, at a limited "
		 "rate"},
};
const size_t settings_n_fields = G_N_ELEMENTS(settings_fields);

const struct field settings_agent_fields[] = {
	{.name = "service",
	 .type = FIELD_NAME,
	 .offset = offsetof(struct settings, service),
	 .required = true,
	 .help = "service of the backend server"},
	{.name = "server",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, server),
	 .help = "UDP address to which packets for the server are sent"},
	{.name = "server_listen",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, server_listen),
	 .help = "UDP address that receives packets from the server"},
	{.name = "server_tun",
	 .type = FIELD_TEXT,
	 .offset = offsetof(struct settings, server_tun),
	 .min = 1,
	 .max = TUN_NAME_MAX,
	 .help = "TUN interface to the server, instead of UDP"},
	{.name = "fabric",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, fabric),
	 .help = "UDP address of the fabric for responses to callers"},
	{.name = "fabric_at_caller",
	 .type = FIELD_BOOL,
	 .offset = offsetof(struct settings, fabric_at_caller),
	 .default_value = 0,
	 .help = "responses are sent to each caller's address at the port of "
		 "`fabric`"},
	{.name = "address_reuse_s",
	 .type = FIELD_DECIMAL,
	 .offset = offsetof(struct settings, address_reuse_ms),
	 .min = 500,
	 .max = DURATION_MAX_MS,
	 .default_value = 2000,
	 .unit = "s",
	 .help = "least time before an address is assigned to another "
		 "server; a server report is valid for this time less 0.1 s"},
	{.name = "flow_lifetime_s",
	 .type = FIELD_DECIMAL,
	 .offset = offsetof(struct settings, flow_lifetime_ms),
	 .min = 0,
	 .max = FLOW_LIFETIME_MAX_MS,
	 .default_value = 0,
	 .unit = "s",
	 .help = "longest lifetime of a connection, if servers keep their "
		 "connections when an agent restarts; 0: they do not"},
	{.name = "report_interval_ms",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, report_interval_ms),
	 .min = 0,
	 .max = REPORT_INTERVAL_MAX_MS,
	 .default_value = 0,
	 .unit = "ms",
	 .help = "time between two reports of the server, by which a "
		 "restarted agent tells a new server; 0: unknown"},
	{.name = "connections",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, connections),
	 .min = 1,
	 .max = CONNECTIONS_MAX,
	 .default_value = 2000,
	 .unit = "connections",
	 .help = "limit of open connections of a warm server"},
	{.name = "slots",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, slots),
	 .min = 1,
	 .max = SLOTS_MAX,
	 .default_value = 5,
	 .unit = "requests",
	 .help = "requests that the server runs concurrently"},
	{.name = "drain_deadline_s",
	 .type = FIELD_INT,
	 .offset = offsetof(struct settings, drain_deadline_s),
	 .min = 0,
	 .max = DRAIN_DEADLINE_MAX_S,
	 .default_value = 3600,
	 .unit = "s",
	 .help = "time for which connections are kept after SIGTERM"},
	{.name = "handover",
	 .type = FIELD_ENDPOINT,
	 .offset = offsetof(struct settings, handover),
	 .help = "TCP address on the VM's loopback for the hand-over to a "
		 "successor"},
};
const size_t settings_n_agent_fields = G_N_ELEMENTS(settings_agent_fields);

static void read_seeds(struct settings *settings, const json_t *root,
		       struct json_errors *errors)
{
	const json_t *seeds = json_reader_array(
		root, "", "seeds", CONTROL_SEEDS_MAX, false, errors);
	char path[FIELD_PATH_MAX_BYTES];
	const json_t *seed;
	size_t i;

	json_array_foreach(seeds, i, seed)
	{
		const char *text = json_string_value(seed);

		if (text &&
		    endpoint_parse(&settings->seeds[settings->n_seeds], text)) {
			if (settings->seed_port)
				settings->seeds[settings->n_seeds].port =
					(uint16_t)settings->seed_port;
			settings->n_seeds++;
			continue;
		}
		snprintf(path, sizeof(path), "seeds[%zu]", i);
		json_errors_add(errors, path,
				"found %s, allowed is an IPv4 address and "
				"port, a.b.c.d:port",
				text ? text : "no string");
	}
}

static size_t copy_role_fields(enum member_role role, struct field *fields)
{
	size_t n = settings_n_fields;

	memcpy(fields, settings_fields, sizeof(*fields) * n);
	if (role != MEMBER_AGENT)
		return n;
	memcpy(fields + n, settings_agent_fields,
	       sizeof(*fields) * settings_n_agent_fields);
	return n + settings_n_agent_fields;
}

static void check_platform(const struct settings *settings,
			   struct json_errors *errors)
{
	const char *url = settings->platform.data;

	if (!settings->platform.len || g_str_has_prefix(url, "http://") ||
	    g_str_has_prefix(url, "https://"))
		return;
	json_errors_add(errors, "platform",
			"found \"%s\", allowed is a URL that starts with "
			"http:// or https://",
			url);
}

/* Any client at the address gets the connections: only loopback is safe. */
static void check_handover(const struct settings *settings,
			   struct json_errors *errors)
{
	char text[ENDPOINT_TEXT_MAX];

	if (!settings->handover.port ||
	    settings->handover.ip >> 24 == LOOPBACK_FIRST_BYTE)
		return;
	json_errors_add(errors, "handover",
			"found \"%s\", allowed is an address in 127.0.0.0/8",
			endpoint_format(&settings->handover, text));
}

static void require_endpoint(const struct endpoint *endpoint, const char *name,
			     const struct json_text *tun, const char *tun_name,
			     struct json_errors *errors)
{
	if (!endpoint->port && !tun->len)
		json_errors_add(errors, name,
				"found no address, required unless %s is set",
				tun_name);
}

/* Each packet interface needs a UDP address or a TUN interface. */
static void check_packet_interfaces(const struct settings *settings,
				    struct json_errors *errors)
{
	require_endpoint(&settings->server, "server", &settings->server_tun,
			 "server_tun", errors);
	require_endpoint(&settings->server_listen, "server_listen",
			 &settings->server_tun, "server_tun", errors);
	require_endpoint(&settings->fabric, "fabric", &settings->fabric_tun,
			 "fabric_tun", errors);
}

void settings_read(struct settings *settings, enum member_role role,
		   const json_t *root, struct json_errors *errors)
{
	struct field fields[G_N_ELEMENTS(settings_fields) +
			    G_N_ELEMENTS(settings_agent_fields)];
	size_t n = copy_role_fields(role, fields);

	memset(settings, 0, sizeof(*settings));
	settings->role = role;
	json_reader_object(root, "", fields, n, settings, errors);
	if (!json_is_object(root))
		return;
	if (!json_object_get(root, "admin"))
		settings->admin = admin_default;
	settings->linger_ms = CLAMP(
		settings->stop_grace_ms - SHUTDOWN_MARGIN_MS, 0, LINGER_MAX_MS);
	settings->zone_grace_ms =
		MAX(settings->zone_bound_ms - ORDER_PROPAGATION_MS, 0);
	settings->report_lease_ms =
		settings->address_reuse_ms - LEASE_MARGIN_MS;
	read_seeds(settings, root, errors);
	keyring_read(&settings->control_keys, root, "control_keys", errors);
	keyring_read(&settings->data_keys, root, "data_keys", errors);
	check_platform(settings, errors);
	check_handover(settings, errors);
	if (role == MEMBER_AGENT)
		check_packet_interfaces(settings, errors);
}

enum status_code settings_load(struct settings *settings, enum member_role role,
			       const char *path, struct status *status)
{
	struct json_errors errors;
	enum status_code code;
	json_t *root;

	json_errors_init(&errors, path);
	root = json_reader_load(path, &errors);
	if (root)
		settings_read(settings, role, root, &errors);
	json_decref(root);
	code = json_errors_status(&errors, status);
	json_errors_finish(&errors);
	return code;
}
