#include <stdio.h>
#include <string.h>

#include "tarragonflow/admin/admin.h"
#include "tarragonflow/commands/command.h"
#include "tarragonflow/commands/fetch.h"
#include "tarragonflow/net/endpoint.h"

#define PATH_MAX_BYTES 192
#define NUMBER_TEXT_MAX 24
#define ADDRESS_HELP "allowed is a.b.c.d:port or [address]:port"

static const char *get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "-";
}

static long long get_number(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

/* A number as text, in @buf of NUMBER_TEXT_MAX, or "-" for null. */
static const char *number_text(const json_t *object, const char *name,
			       char *buf)
{
	if (!json_is_integer(json_object_get(object, name)))
		return "-";
	snprintf(buf, NUMBER_TEXT_MAX, "%lld", get_number(object, name));
	return buf;
}

/* "yes", "no", or "unknown" for null. */
static const char *flag_text(const json_t *object, const char *name)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_boolean(value))
		return "unknown";
	return json_is_true(value) ? "yes" : "no";
}

static void print_knowledge(const json_t *root)
{
	const json_t *knowledge = json_object_get(root, "knowledge");
	const json_t *store = json_object_get(knowledge, "store");
	char age[NUMBER_TEXT_MAX], confirmed[NUMBER_TEXT_MAX];
	char contact[NUMBER_TEXT_MAX];

	if (!knowledge)
		return;
	printf("seen by %s: release %lld, computed %s ms ago, confirmed %s ms "
	       "ago%s\n",
	       get_text(root, "name"), get_number(knowledge, "release"),
	       number_text(knowledge, "view_age_ms", age),
	       number_text(knowledge, "confirmed_ms", confirmed),
	       json_is_true(json_object_get(knowledge, "resyncing"))
		       ? ", was paused and waits for state from a peer"
		       : "");
	printf("roster: %lld members, %lld servers, complete: %s\n",
	       get_number(knowledge, "members"),
	       get_number(knowledge, "servers"),
	       flag_text(knowledge, "roster_complete"));
	printf("isolated from agents: %s, from the store: %s (last contact of "
	       "any process %s ms ago)\n",
	       flag_text(knowledge, "agents_isolated"),
	       flag_text(store, "isolated"),
	       number_text(store, "last_contact_ms", contact));
}

static void print_candidate(const json_t *candidate)
{
	char load[NUMBER_TEXT_MAX], age[NUMBER_TEXT_MAX];
	char sent[NUMBER_TEXT_MAX], zone[NUMBER_TEXT_MAX];
	char total[NUMBER_TEXT_MAX];

	printf("%c %-16s %-12s %6s %7s %6s %6s %6s  %s%s\n",
	       json_is_true(json_object_get(candidate, "selected")) ? '>' : ' ',
	       get_text(candidate, "name"), get_text(candidate, "zone"),
	       number_text(candidate, "load", load),
	       number_text(candidate, "load_age_ms", age),
	       number_text(candidate, "added_for_sent", sent),
	       number_text(candidate, "added_for_zone", zone),
	       number_text(candidate, "compared_load", total),
	       get_text(candidate, "verdict"),
	       json_is_true(json_object_get(candidate, "suspect"))
		       ? " (suspect: last in the chain)"
		       : "");
}

static void print_decision(const json_t *root)
{
	const json_t *service = json_object_get(root, "service"), *candidate;
	char objective[NUMBER_TEXT_MAX];
	size_t i;

	if (service)
		printf("%s: service %s (weight %lld of %lld), priority %lld, "
		       "objective %s ms\n",
		       get_text(root, "to"), get_text(service, "name"),
		       get_number(service, "weight"),
		       get_number(service, "total_weight"),
		       get_number(service, "priority"),
		       number_text(service, "objective_ms", objective));
	if (!json_object_get(root, "candidates"))
		return;
	printf("from %s%s: bucket %lld of %lld\n", get_text(root, "from"),
	       json_is_true(json_object_get(root, "sample_source"))
		       ? ", a sample (candidates differ by source; see "
			 "--source)"
		       : "",
	       get_number(root, "bucket"), get_number(root, "buckets"));
	printf("  %-16s %-12s %6s %7s %6s %6s %6s  %s\n", "NAME", "ZONE",
	       "LOAD", "AGE_MS", "+SENT", "+ZONE", "TOTAL", "VERDICT");
	json_array_foreach(json_object_get(root, "candidates"), i, candidate)
		print_candidate(candidate);
	printf("selected: %s: %s\n", get_text(root, "selected"),
	       get_text(root, "why"));
}

/* The code with @name; STATUS_PARSE if no answer has that code. */
static enum status_code status_code_by_name(const char *name)
{
	static const enum status_code codes[] = {
		STATUS_OK,	    STATUS_INVALID, STATUS_NOT_FOUND,
		STATUS_UNAVAILABLE, STATUS_TIMEOUT,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(codes); i++)
		if (!strcmp(name, status_name(codes[i])))
			return codes[i];
	return STATUS_PARSE;
}

static enum status_code check_address(const char *field, const char *text,
				      struct status *status)
{
	struct ip_addr addr;
	uint16_t port;

	if (admin_parse_address(text, &addr, &port))
		return STATUS_OK;
	return status_set(status, STATUS_USAGE,
			  "%s: found \"%s\", " ADDRESS_HELP, field, text);
}

static enum status_code check_arguments(const char *admin, const char *source,
					const char *to, struct status *status)
{
	struct endpoint endpoint;

	if (!admin)
		return status_set(status, STATUS_USAGE,
				  "--admin ADDRESS:PORT is missing");
	if (!endpoint_parse(&endpoint, admin))
		return status_set(status, STATUS_USAGE,
				  "--admin: found \"%s\", allowed is "
				  "a.b.c.d:port",
				  admin);
	if (source && check_address("--source", source, status) != STATUS_OK)
		return status->code;
	return check_address("ADDRESS:PORT", to, status);
}

static enum status_code print_where(const char *admin, const char *source,
				    const char *to, bool json,
				    struct status *status)
{
	char path[PATH_MAX_BYTES];
	enum status_code code;
	json_t *root;

	snprintf(path, sizeof(path), "/v1/where?to=%s%s%s", to,
		 source ? "&from=" : "", source ? source : "");
	root = fetch_json_of_any_code(admin, path, status);
	if (!root)
		return status->code;
	if (json) {
		json_dumpf(root, stdout, JSON_INDENT(2));
		printf("\n");
	} else {
		print_knowledge(root);
		print_decision(root);
	}
	fflush(stdout);
	code = status_code_by_name(get_text(root, "status"));
	if (code == STATUS_PARSE)
		status_set(status, code, "%s: status: found \"%s\"", admin,
			   get_text(root, "status"));
	else if (code != STATUS_OK)
		status_set(status, code, "%s: %s", admin,
			   get_text(root, "error"));
	json_decref(root);
	return status->code;
}

static enum status_code run_where(const struct command *command, int argc,
				  char **argv, struct status *status)
{
	char *admin = NULL, *source = NULL;
	gboolean json = FALSE;
	const GOptionEntry entries[] = {
		{"admin", 'a', 0, G_OPTION_ARG_STRING, &admin,
		 "admin address of a balancer", "ADDRESS:PORT"},
		{"source", 's', 0, G_OPTION_ARG_STRING, &source,
		 "the caller's address and port", "ADDRESS:PORT"},
		{"json", 0, 0, G_OPTION_ARG_NONE, &json,
		 "print the document as JSON", NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};

	if (command_parse(command, entries, &argc, &argv, 1, 1, status) ==
		    STATUS_OK &&
	    check_arguments(admin, source, argv[1], status) == STATUS_OK)
		print_where(admin, source, argv[1], json, status);
	g_free(admin);
	g_free(source);
	return status->code;
}

const struct command command_where = {
	.name = "where",
	.arguments = "ADDRESS:PORT",
	.summary = "Explain where a new connection would go now",
	.run = run_where,
};
