#include "member_net.h"

#include <stdio.h>
#include <string.h>

#define BASE_IP 0x0a000000u
#define CONTROL_PORT 4702
#define MS_PER_S 1000
#define DELAY_MAX_MS 3
/* A window of the replay guard with its place in the hash table. */
#define REPLAY_WINDOW_BYTES 64

struct net_message {
	size_t to;
	size_t len;
	uint8_t data[];
};

static void net_send(struct control_sink *sink, const struct endpoint *to,
		     const uint8_t *data, size_t len)
{
	struct net_node *node = (struct net_node *)sink;
	struct member_net *net = node->net;
	int64_t at_ms =
		net->now_ms + g_rand_int_range(net->rand, 1, DELAY_MAX_MS + 1);
	struct net_message *message;

	net->bytes += len;
	net->messages++;
	net->largest = MAX(net->largest, len);
	node->second += len;
	if (net->loss > 0 && g_rand_double(net->rand) < net->loss)
		return;
	message = g_malloc(sizeof(*message) + len);
	message->to = to->ip - BASE_IP;
	message->len = len;
	memcpy(message->data, data, len);
	g_ptr_array_add(net->ring[at_ms % MEMBER_NET_RING], message);
}

static void net_call(struct control_sink *sink,
		     const struct store_request *request)
{
	(void)sink;
	(void)request;
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

static void self_init(struct member *self, size_t i, size_t n_zones)
{
	char text[NAME_MAX_LEN];

	memset(self, 0, sizeof(*self));
	snprintf(text, sizeof(text), "orders-%05zu", i);
	name_set(&self->name, str_from(text));
	snprintf(text, sizeof(text), "zone-%02zu", i % n_zones);
	name_set(&self->zone, str_from(text));
	name_set(&self->service, str_from("orders"));
	self->role = MEMBER_AGENT;
	self->state = MEMBER_ACTIVE;
	self->instance = 1700000000000;
	self->sequence = 1;
	self->data = (struct endpoint){BASE_IP + (uint32_t)i, 4701};
	self->control = (struct endpoint){BASE_IP + (uint32_t)i, CONTROL_PORT};
	self->admin = (struct endpoint){BASE_IP + (uint32_t)i, 4703};
	self->connections = 2000;
	self->slots = 5;
}

static void node_init(struct member_net *net, size_t i, int64_t bytes_per_s)
{
	struct net_node *node = &net->nodes[i];
	struct control_options options;
	struct status status;

	memset(&options, 0, sizeof(options));
	status_init(&status);
	self_init(&options.self, i, net->n_zones);
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
		.pull_config = net_pull,
		.routing_changed = net_changed,
	};
	node->net = net;
	node->up = true;
	counters_init(&node->counters);
	control_init(&node->control, &options, &node->counters, net->now_ms);
	for (size_t j = 0; j < net->n; j++) {
		struct member member;

		self_init(&member, j, net->n_zones);
		if (j != i)
			roster_merge(&node->control.roster, &member,
				     net->now_ms);
	}
	/* They know one another already: nothing to announce. */
	node->control.gossip_queue.n = 0;
	node->control.last_number = 1;
}

void member_net_init(struct member_net *net, size_t n, size_t n_zones,
		     int64_t bytes_per_s, uint64_t seed)
{
	memset(net, 0, sizeof(*net));
	net->nodes = g_new0(struct net_node, n);
	net->n = n;
	net->n_zones = n_zones;
	net->rand = g_rand_new_with_seed((guint32)seed);
	for (int i = 0; i < MEMBER_NET_RING; i++)
		net->ring[i] = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < n; i++)
		node_init(net, i, bytes_per_s);
}

void member_net_finish(struct member_net *net)
{
	for (size_t i = 0; i < net->n; i++)
		control_finish(&net->nodes[i].control);
	for (int i = 0; i < MEMBER_NET_RING; i++)
		g_ptr_array_free(net->ring[i], TRUE);
	g_rand_free(net->rand);
	g_free(net->nodes);
}

static void deliver(struct member_net *net)
{
	static const struct endpoint unknown = {0, 0};
	GPtrArray *due = net->ring[net->now_ms % MEMBER_NET_RING];

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

static void end_second(struct member_net *net)
{
	for (size_t i = 0; i < net->n; i++) {
		struct net_node *node = &net->nodes[i];

		node->worst = MAX(node->worst, node->second);
		node->second = 0;
	}
}

void member_net_run(struct member_net *net, int64_t ms)
{
	for (int64_t end_ms = net->now_ms + ms; net->now_ms < end_ms;) {
		net->now_ms++;
		deliver(net);
		for (size_t i = 0; i < net->n; i++) {
			struct net_node *node = &net->nodes[i];

			if (node->up && net->now_ms >= control_next_deadline(
							       &node->control))
				control_tick(&node->control, net->now_ms,
					     &node->sink);
		}
		if (net->now_ms % MS_PER_S == 0)
			end_second(net);
	}
}

void member_net_reset(struct member_net *net)
{
	net->bytes = net->messages = net->largest = 0;
	for (size_t i = 0; i < net->n; i++)
		net->nodes[i].second = net->nodes[i].worst = 0;
}

static size_t count_pairs(const struct member_net *net, bool up,
			  bool held_active)
{
	size_t n = 0;

	for (size_t i = 0; i < net->n; i++) {
		const struct roster *roster = &net->nodes[i].control.roster;

		/* Names sort like numbers. */
		for (size_t j = 0; net->nodes[i].up && j < net->n; j++)
			n += net->nodes[j].up == up &&
			     (roster->members[j].state == MEMBER_ACTIVE) ==
				     held_active;
	}
	return n;
}

size_t member_net_unaware(const struct member_net *net)
{
	return count_pairs(net, false, true);
}

size_t member_net_mistaken(const struct member_net *net)
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
