#include "member_net.h"

#include <stdio.h>
#include <string.h>

#define BASE_IP 0x0a000000u
#define CONTROL_PORT 4702
#define MS_PER_S 1000
#define DELAY_MAX_MS 3
/* One window of the replay guard with its hash table entry. */
#define REPLAY_WINDOW_BYTES 64

struct net_message {
	/** Index of the receiving node. */
	size_t to;
	/** Bytes in `data`. */
	size_t len;
	uint8_t data[];
};

static void net_send(struct control_sink *sink, const struct endpoint *to,
		     const uint8_t *data, size_t len)
{
	struct net_node *node = (struct net_node *)sink;
	struct member_net *net = node->net;
	int64_t arrival_ms =
		net->now_ms + g_rand_int_range(net->rand, 1, DELAY_MAX_MS + 1);
	struct net_message *message;

	net->sent_bytes += len;
	net->sent_messages++;
	net->largest_bytes = MAX(net->largest_bytes, len);
	node->second_bytes += len;
	if (net->loss > 0 && g_rand_double(net->rand) < net->loss)
		return;
	message = g_malloc(sizeof(*message) + len);
	message->to = to->ip - BASE_IP;
	message->len = len;
	memcpy(message->data, data, len);
	g_ptr_array_add(net->in_transit[arrival_ms % MEMBER_NET_DELAY_SLOTS],
			message);
}

static void net_call(struct control_sink *sink,
		     const struct store_request *request)
{
	(void)sink;
	(void)request;
}

static void net_cancel(struct control_sink *sink, enum store_queue queue,
		       uint64_t id)
{
	(void)sink;
	(void)queue;
	(void)id;
}

static void net_pull(struct control_sink *sink, const struct endpoint *peer,
		     struct str request)
{
	(void)sink;
	(void)peer;
	(void)request;
}

static void net_changed(struct control_sink *sink)
{
	(void)sink;
}

static void member_init(struct member *member, size_t i, size_t n_zones)
{
	char text[NAME_MAX_LEN];

	memset(member, 0, sizeof(*member));
	snprintf(text, sizeof(text), "orders-%05zu", i);
	name_set(&member->name, str_from(text));
	snprintf(text, sizeof(text), "zone-%02zu", i % n_zones);
	name_set(&member->zone, str_from(text));
	name_set(&member->service, str_from("orders"));
	member->role = MEMBER_AGENT;
	member->state = MEMBER_ACTIVE;
	member->instance = 1700000000000;
	member->sequence = 1;
	member->data = (struct endpoint){BASE_IP + (uint32_t)i, 4701};
	member->control =
		(struct endpoint){BASE_IP + (uint32_t)i, CONTROL_PORT};
	member->admin = (struct endpoint){BASE_IP + (uint32_t)i, 4703};
	member->connections = 2000;
	member->slots = 5;
}

static void node_init(struct member_net *net, size_t i, int64_t bytes_per_s)
{
	struct net_node *node = &net->nodes[i];
	struct control_options options;
	struct status status;

	memset(&options, 0, sizeof(options));
	status_init(&status);
	member_init(&options.self, i, net->n_zones);
	options.self.sequence = 0;
	options.bytes_per_s = bytes_per_s;
	options.random_seed = g_rand_int(net->rand);
	name_set(&options.deployment, str_from("bench"));
	keyring_init(&options.keys);
	keyring_add(&options.keys, 1,
		    str_from("000102030405060708090a0b0c0d0e0f"), &status);
	node->sink = (struct control_sink){
		.send = net_send,
		.call_platform = net_call,
		.cancel_platform_call = net_cancel,
		.pull_config = net_pull,
		.routing_changed = net_changed,
	};
	node->net = net;
	node->up = true;
	counters_init(&node->counters);
	control_init(&node->control, &options, &node->counters, net->now_ms);
	for (size_t j = 0; j < net->n_nodes; j++) {
		struct member member;

		member_init(&member, j, net->n_zones);
		if (j != i)
			roster_merge(&node->control.roster, &member,
				     net->now_ms);
	}
	/* All rosters are complete, so there is nothing to announce. */
	node->control.gossip_queue.n = 0;
	node->control.last_message_number = 1;
}

void member_net_init(struct member_net *net, size_t n_nodes, size_t n_zones,
		     int64_t bytes_per_s, uint64_t seed)
{
	memset(net, 0, sizeof(*net));
	net->nodes = g_new0(struct net_node, n_nodes);
	net->n_nodes = n_nodes;
	net->n_zones = n_zones;
	net->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < MEMBER_NET_DELAY_SLOTS; i++)
		net->in_transit[i] = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < n_nodes; i++)
		node_init(net, i, bytes_per_s);
}

void member_net_finish(struct member_net *net)
{
	for (size_t i = 0; i < net->n_nodes; i++)
		control_finish(&net->nodes[i].control);
	for (int i = 0; i < MEMBER_NET_DELAY_SLOTS; i++)
		g_ptr_array_free(net->in_transit[i], TRUE);
	g_rand_free(net->rand);
	g_free(net->nodes);
}

static void deliver_due(struct member_net *net)
{
	static const struct endpoint unknown = {0, 0};
	GPtrArray *due = net->in_transit[net->now_ms % MEMBER_NET_DELAY_SLOTS];

	for (guint i = 0; i < due->len; i++) {
		struct net_message *message = g_ptr_array_index(due, i);
		struct net_node *node = &net->nodes[message->to];

		if (node->up)
			control_handle_message(&node->control, &unknown,
					       message->data, message->len,
					       net->now_ms, &node->sink);
	}
	g_ptr_array_set_size(due, 0);
}

static void update_peaks(struct member_net *net)
{
	for (size_t i = 0; i < net->n_nodes; i++) {
		struct net_node *node = &net->nodes[i];

		node->peak_second_bytes =
			MAX(node->peak_second_bytes, node->second_bytes);
		node->second_bytes = 0;
	}
}

void member_net_run(struct member_net *net, int64_t ms)
{
	for (int64_t end_ms = net->now_ms + ms; net->now_ms < end_ms;) {
		net->now_ms++;
		deliver_due(net);
		for (size_t i = 0; i < net->n_nodes; i++) {
			struct net_node *node = &net->nodes[i];

			if (node->up && net->now_ms >= control_next_deadline(
							       &node->control))
				control_tick(&node->control, net->now_ms,
					     &node->sink);
		}
		if (net->now_ms % MS_PER_S == 0)
			update_peaks(net);
	}
}

void member_net_reset_totals(struct member_net *net)
{
	net->sent_bytes = net->sent_messages = net->largest_bytes = 0;
	for (size_t i = 0; i < net->n_nodes; i++)
		net->nodes[i].second_bytes = net->nodes[i].peak_second_bytes =
			0;
}

/*
 * Counts pairs of a running observer and a member that runs or not (@up) and
 * that the observer's roster lists as active or not (@listed_active).
 */
static size_t count_pairs(const struct member_net *net, bool up,
			  bool listed_active)
{
	size_t n = 0;

	for (size_t i = 0; i < net->n_nodes; i++) {
		const struct roster *roster = &net->nodes[i].control.roster;

		/* Sorted by name, members have the same index as nodes. */
		for (size_t j = 0; net->nodes[i].up && j < net->n_nodes; j++)
			n += net->nodes[j].up == up &&
			     (roster->members[j].state == MEMBER_ACTIVE) ==
				     listed_active;
	}
	return n;
}

size_t member_net_undetected(const struct member_net *net)
{
	return count_pairs(net, false, true);
}

size_t member_net_false_positives(const struct member_net *net)
{
	return count_pairs(net, true, false);
}

size_t member_net_memory(const struct net_node *node)
{
	const struct control *control = &node->control;

	return sizeof(*control) +
	       control->roster.cap * sizeof(*control->roster.members) +
	       control->gossip_queue.cap *
		       sizeof(*control->gossip_queue.items) +
	       control->detector.cap_suspicions *
		       sizeof(*control->detector.suspicions) +
	       g_hash_table_size(control->replay_guard.windows) *
		       REPLAY_WINDOW_BYTES;
}
