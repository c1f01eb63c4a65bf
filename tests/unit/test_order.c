#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "tarragonflow/order/gate.h"

#define RETENTION_MS 60000

static void set_name(struct name *name, const char *text)
{
	g_assert_true(name_set(name, str_from(text)));
}

static void fill_list(struct home_list *list, size_t n)
{
	char text[32];

	memset(list, 0, sizeof(*list));
	for (size_t i = 0; i < n; i++) {
		struct name name;

		snprintf(text, sizeof(text), "orders-%zu", i + 1);
		set_name(&name, text);
		g_assert_true(home_list_add(list, &name));
	}
}

/* A key's home pairs in two consecutive lists share at least one home. */
static void test_home_pairs_overlap(void)
{
	struct home_list list, next;
	struct name name, changed;
	struct order_key key;
	bool added;

	set_name(&name, "orders");
	for (size_t n = 1; n <= 9; n++) {
		fill_list(&list, n);
		for (size_t changed_index = 0; changed_index <= n;
		     changed_index++) {
			next = list;
			set_name(&changed, "orders-77");
			if (changed_index < n)
				changed = list.names[changed_index];
			if (changed_index == n)
				home_list_add(&next, &changed);
			else if (n > 1)
				home_list_remove(&next, &changed);
			else
				continue;
			g_assert_true(home_list_follows(&list, &next, &changed,
							&added));
			g_assert_cmpint(added, ==, changed_index == n);
			for (uint64_t k = 0; k < 500; k++) {
				struct home_pair a, b;
				int shared = 0;

				order_key_init(
					&key, &name,
					(struct str){(char *)&k, sizeof(k)});
				home_list_select_pair(&list, &key, &a);
				home_list_select_pair(&next, &key, &b);
				for (size_t i = 0; i < a.n * b.n; i++)
					shared += name_equal(
						&list.names[a.index[i / b.n]],
						&next.names[b.index[i % b.n]]);
				g_assert_cmpint(shared, >=, 1);
			}
		}
	}
}

static void test_message_round_trip(void)
{
	struct claim_copy copies[2] = {
		{.key = {1, 2}, .owner = {3, 4}, .state = CLAIM_DONE},
		{.key = {5, 6}, .owner = {7, 8}, .state = CLAIM_HELD},
	};
	struct order_message_buffer buffer;
	struct order_message message;
	struct home_list list;
	struct strbuf out;

	fill_list(&list, 3);
	memset(&message, 0, sizeof(message));
	message.type = ORDER_COPY;
	set_name(&message.from, "orders-1");
	message.epoch = 9;
	message.list = &list;
	message.copies = copies;
	message.n_copies = 2;
	message.payload = str_from("body");
	strbuf_init(&out);
	order_message_buffer_init(&buffer);
	order_message_encode(&message, &out);
	for (size_t len = 1; len < out.len - ORDER_FRAME_HEADER_BYTES; len++)
		order_message_decode(
			&buffer, (uint8_t *)out.data + ORDER_FRAME_HEADER_BYTES,
			len);
	g_assert_true(order_message_decode(
		&buffer, (uint8_t *)out.data + ORDER_FRAME_HEADER_BYTES,
		out.len - ORDER_FRAME_HEADER_BYTES));
	g_assert_cmpuint(buffer.message.epoch, ==, 9);
	g_assert_cmpuint(buffer.message.list->n, ==, 3);
	g_assert_true(name_equal(&buffer.list.names[2], &list.names[2]));
	g_assert_cmpuint(buffer.message.n_copies, ==, 2);
	g_assert_cmpint(buffer.copies[1].state, ==, CLAIM_HELD);
	g_assert_cmpuint(buffer.copies[1].owner.request, ==, 8);
	g_assert_true(str_equal(buffer.message.payload, str_from("body")));
	order_message_buffer_finish(&buffer);
	strbuf_finish(&out);
}

/* A sequence of claims on one key and their settlements at a single home. */
static void test_claims(void)
{
	static const struct {
		/* Id of the request that claims or settles the key. */
		uint64_t owner;
		/* State to settle the claim with; CLAIM_NONE: claim the key. */
		enum claim_state settle;
		/* Time of the step; time since the request arrived, ms. */
		int64_t at_ms, age_ms;
		bool refuse_only;
		/* Expected in the response to a claim. */
		enum claim_verdict verdict;
		enum claim_state state;
	} steps[] = {
		{1, CLAIM_NONE, 1000, 0, false, CLAIM_GRANTED, CLAIM_HELD},
		{1, CLAIM_NONE, 1001, 0, false, CLAIM_GRANTED, CLAIM_HELD},
		{2, CLAIM_NONE, 1002, 0, false, CLAIM_CONFLICT, CLAIM_HELD},
		{2, CLAIM_RELEASED, 1003, 0, false, 0, 0},
		{2, CLAIM_NONE, 1004, 0, false, CLAIM_CONFLICT, CLAIM_HELD},
		{1, CLAIM_RELEASED, 1005, 0, false, 0, 0},
		/* A delayed copy of the claim that request 1 released. */
		{1, CLAIM_NONE, 1300, 0, true, CLAIM_SUPERSEDED,
		 CLAIM_RELEASED},
		/* Request 3 arrived before request 1 released the key. */
		{3, CLAIM_NONE, 1400, 0, false, CLAIM_SUPERSEDED,
		 CLAIM_RELEASED},
		{3, CLAIM_NONE, 9000, 8000, false, CLAIM_SUPERSEDED,
		 CLAIM_RELEASED},
		{3, CLAIM_NONE, 9000, 8000, true, CLAIM_GRANTED, CLAIM_HELD},
		{3, CLAIM_RELEASED, 9001, 0, false, 0, 0},
		{4, CLAIM_NONE, 9600, 10, false, CLAIM_GRANTED, CLAIM_HELD},
		{4, CLAIM_UNKNOWN, 9700, 0, false, 0, 0},
		{5, CLAIM_NONE, 9800, 0, false, CLAIM_CONFLICT, CLAIM_UNKNOWN},
		{4, CLAIM_DONE, 9900, 0, false, 0, 0},
		{4, CLAIM_UNKNOWN, 9901, 0, false, 0, 0},
		{5, CLAIM_NONE, 9950, 0, false, CLAIM_CONFLICT, CLAIM_DONE},
		/* The claim expired after the retention time. */
		{6, CLAIM_NONE, 9900 + RETENTION_MS, 0, false, CLAIM_GRANTED,
		 CLAIM_HELD},
	};
	struct claims_options options = {
		.instance = 1, .retention_ms = RETENTION_MS, .keys_max = 10};
	struct order_message message, response;
	struct counters counters;
	struct claims claims;
	struct home_list list;

	fill_list(&list, 1);
	options.self = list.names[0];
	counters_init(&counters);
	claims_init(&claims, &options, &counters, 1);
	claims_set_list(&claims, &list, true, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		claims_init_message(&claims, &message, ORDER_CLAIM);
		message.owner.request = steps[i].owner;
		message.age_ms = steps[i].age_ms;
		message.refuse_only = steps[i].refuse_only;
		message.state = steps[i].settle;
		if (steps[i].settle) {
			claims_settle(&claims, &message, steps[i].at_ms);
			continue;
		}
		claims_handle_claim(&claims, &message, steps[i].at_ms,
				    &response);
		g_assert_cmpint(response.verdict, ==, steps[i].verdict);
		g_assert_cmpint(response.state, ==, steps[i].state);
		g_assert_true(response.complete);
	}
	claims_finish(&claims);
}

/* Cases in which a home must not grant a claim or must not be complete. */
static void test_claims_not_granted(void)
{
	static const struct {
		/* This agent created the list; the platform sent it. */
		bool created_list, from_platform;
		/* The agent is a home in the list. */
		bool in_list;
		/* Epoch in the claim; the list has epoch 1. */
		uint64_t epoch;
		/* Expected in the response. */
		enum claim_verdict verdict;
		bool complete;
	} cases[] = {
		{true, true, true, 1, CLAIM_GRANTED, true},
		/* Restarted: the earlier run may have granted the key. */
		{false, true, true, 1, CLAIM_GRANTED, false},
		{true, true, true, 2, CLAIM_LIST_MISMATCH, false},
		{true, true, true, 0, CLAIM_LIST_MISMATCH, false},
		{true, true, false, 1, CLAIM_LIST_MISMATCH, false},
		/* The list came from one agent and may not be the newest. */
		{false, false, true, 1, CLAIM_FENCED, false},
	};
	struct claims_options options = {
		.instance = 1, .retention_ms = RETENTION_MS, .keys_max = 10};
	struct order_message message, response;
	struct counters counters;
	struct claims claims;
	struct home_list list;

	fill_list(&list, 1);
	counters_init(&counters);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		set_name(&options.self,
			 cases[i].in_list ? "orders-1" : "orders-2");
		claims_init(&claims, &options, &counters, 1);
		if (cases[i].from_platform)
			claims_set_list(&claims, &list, cases[i].created_list,
					1);
		else
			claims_receive_list(&claims, &list, 1);
		claims_init_message(&claims, &message, ORDER_CLAIM);
		message.epoch = cases[i].epoch;
		claims_handle_claim(&claims, &message, 10, &response);
		g_assert_cmpint(response.verdict, ==, cases[i].verdict);
		g_assert_cmpint(response.complete, ==, cases[i].complete);
		claims_finish(&claims);
	}
}

static void ignore_send(struct claims_sink *sink, const struct name *to,
			const struct order_message *message)
{
	(void)sink;
	(void)to;
	(void)message;
}

static void ignore_propose(struct claims_sink *sink,
			   const struct home_list *list)
{
	(void)sink;
	(void)list;
}

/* A home is complete when all parts of a copy arrived, in any order. */
static void test_copy_parts(void)
{
	static const struct {
		/* Indices of the parts that arrive, in this order. */
		uint32_t parts[4];
		size_t n_parts;
		/* Index of the last part of the copy. */
		uint32_t last;
		/* The sender is complete; the receiver is, too, afterwards. */
		bool sender_complete, complete;
	} cases[] = {
		{{0, 1, 2}, 3, 2, true, true},
		{{2, 0, 1}, 3, 2, true, true},
		{{0}, 1, 0, true, true},
		{{2, 0, 0, 1}, 4, 2, true, true},
		/* Three parts arrived, one of them twice: part 1 is missing. */
		{{0, 0, 2}, 3, 2, true, false},
		{{0, 1}, 2, 2, true, false},
		/* The sender is not complete. */
		{{0, 1, 2}, 3, 2, false, false},
		{{5000}, 1, 5000, true, false},
	};
	struct claims_sink sink = {ignore_send, ignore_propose};
	struct claims_options options = {
		.instance = 1, .retention_ms = RETENTION_MS, .keys_max = 10};
	struct order_message message;
	struct counters counters;
	struct claims claims;
	struct home_list list;

	fill_list(&list, 2);
	options.self = list.names[0];
	counters_init(&counters);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		claims_init(&claims, &options, &counters, 1);
		claims_set_list(&claims, &list, false, 1);
		claims_tick(&claims, 1000, &sink);
		for (size_t j = 0; j < cases[i].n_parts; j++) {
			claims_init_message(&claims, &message, ORDER_COPY);
			message.from = list.names[1];
			message.sent_ms = 1000;
			message.part = cases[i].parts[j];
			message.last = message.part == cases[i].last;
			message.complete = cases[i].sender_complete;
			claims_handle_message(&claims, &message, 1010, &sink);
		}
		g_assert_cmpint(claims.peers[1].complete, ==,
				cases[i].complete);
		claims_finish(&claims);
	}
}

/* A gate and the results, dispatches and claims that it put out. */
struct test_gate {
	struct gate_sink sink;
	struct gate gate;
	struct claims claims;
	struct counters counters;
	struct order_result results[16];
	size_t n_results;
	uint64_t dispatched[16];
	size_t n_dispatched;
	/* The last claim sent, and its receiver. */
	struct order_message claim;
	struct name claim_to;
};

static void on_send(struct gate_sink *sink, const struct name *to,
		    const struct order_message *message)
{
	struct test_gate *self = (struct test_gate *)sink;

	if (message->type != ORDER_CLAIM)
		return;
	self->claim = *message;
	self->claim_to = *to;
}

static void on_dispatch(struct gate_sink *sink, uint64_t id, uint32_t attempt,
			struct str payload)
{
	struct test_gate *self = (struct test_gate *)sink;

	(void)attempt;
	(void)payload;
	self->dispatched[self->n_dispatched++] = id;
}

static void on_cancel(struct gate_sink *sink, uint64_t id, uint32_t attempt)
{
	(void)sink;
	(void)id;
	(void)attempt;
}

static void on_report(struct gate_sink *sink, const struct order_result *result)
{
	struct test_gate *self = (struct test_gate *)sink;

	self->results[self->n_results++] = *result;
}

static void start_gate(struct test_gate *self)
{
	struct claims_options options = {
		.instance = 1, .retention_ms = RETENTION_MS, .keys_max = 10};
	struct gate_options gate = {.slots = 1,
				    .queue_max = 2,
				    .caller_queue_max = 2,
				    .claims_pending_max = 8};
	struct home_list list;

	memset(self, 0, sizeof(*self));
	fill_list(&list, 1);
	options.self = list.names[0];
	self->sink.send = on_send;
	self->sink.dispatch = on_dispatch;
	self->sink.cancel = on_cancel;
	self->sink.report = on_report;
	counters_init(&self->counters);
	claims_init(&self->claims, &options, &self->counters, 1);
	claims_set_list(&self->claims, &list, true, 1);
	gate_init(&self->gate, &gate, &self->claims, &self->counters);
}

static void stop_gate(struct test_gate *self)
{
	gate_finish(&self->gate);
	claims_finish(&self->claims);
}

static void submit(struct test_gate *self, uint64_t id, uint64_t key,
		   bool idempotent, enum order_class class)
{
	struct order_request request = {
		.id = id,
		.has_key = key,
		.key = {key, key},
		.idempotent = idempotent,
		.class = class,
		.deadline_ms = 1000,
	};

	gate_submit(&self->gate, &request, 10, &self->sink);
}

static void end_attempt(struct test_gate *self, uint64_t id, uint32_t attempt,
			enum order_attempt_result result)
{
	gate_end_attempt(&self->gate, id, attempt, result, str_from(""), 20,
			 &self->sink);
}

/* The outcome reported for each result of a dispatch to the server. */
static void test_gate_attempt_results(void)
{
	static const struct {
		bool idempotent;
		enum order_attempt_result result;
		enum order_outcome outcome;
		enum order_reason reason;
	} cases[] = {
		{false, ORDER_ATTEMPT_COMPLETED, ORDER_DONE, ORDER_REASON_NONE},
		{false, ORDER_ATTEMPT_NO_RESPONSE, ORDER_UNKNOWN,
		 ORDER_REASON_SERVER_LOST},
		{false, ORDER_ATTEMPT_TRUNCATED, ORDER_UNKNOWN,
		 ORDER_REASON_SERVER_LOST},
		{false, ORDER_ATTEMPT_NOT_SENT, ORDER_NOT_RUN,
		 ORDER_REASON_SERVER_UNREACHABLE},
		/* May be repeated, but no retry budget was earned yet. */
		{true, ORDER_ATTEMPT_NO_RESPONSE, ORDER_UNKNOWN,
		 ORDER_REASON_SERVER_LOST},
	};
	struct test_gate self;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_gate(&self);
		submit(&self, 1, 5, cases[i].idempotent, ORDER_CLASS_ORDER);
		g_assert_cmpuint(self.n_dispatched, ==, 1);
		/* Results for another id or attempt change nothing. */
		end_attempt(&self, 2, 1, ORDER_ATTEMPT_COMPLETED);
		end_attempt(&self, 1, 2, ORDER_ATTEMPT_COMPLETED);
		g_assert_cmpuint(self.n_results, ==, 0);
		end_attempt(&self, 1, 1, cases[i].result);
		end_attempt(&self, 1, 1, ORDER_ATTEMPT_COMPLETED);
		g_assert_cmpuint(self.n_results, ==, 1);
		g_assert_cmpint(self.results[0].outcome, ==, cases[i].outcome);
		g_assert_cmpint(self.results[0].reason, ==, cases[i].reason);
		g_assert_cmpuint(counter_get(&self.counters,
					     COUNTER_ORDER_RESPONSE_UNMATCHED),
				 ==, 3);
		g_assert_cmpuint(gate_count_open(&self.gate), ==, 0);
		stop_gate(&self);
	}
}

static void test_gate_queue(void)
{
	struct test_gate self;

	start_gate(&self);
	submit(&self, 1, 1, false, ORDER_CLASS_ORDER);
	submit(&self, 2, 0, false, ORDER_CLASS_UPLOAD);
	submit(&self, 3, 3, false, ORDER_CLASS_ORDER);
	/*
	 * The queue is full. Request 4 is reported not run, which is proven as
	 * the gate holds the claim on its key.
	 */
	submit(&self, 4, 4, false, ORDER_CLASS_ORDER);
	/* Request 5 has the key of request 1, which is still running. */
	submit(&self, 5, 1, false, ORDER_CLASS_ORDER);
	g_assert_cmpuint(self.n_results, ==, 1);
	/* Request 5 retries its claim for 500 ms. */
	gate_tick(&self.gate, 400, &self.sink);
	g_assert_cmpuint(self.n_results, ==, 1);
	gate_tick(&self.gate, 600, &self.sink);
	g_assert_cmpuint(self.n_results, ==, 2);
	g_assert_cmpint(self.results[0].outcome, ==, ORDER_NOT_RUN);
	g_assert_cmpint(self.results[0].reason, ==, ORDER_REASON_QUEUE_FULL);
	g_assert_cmpint(self.results[1].outcome, ==, ORDER_UNKNOWN);
	g_assert_cmpint(self.results[1].reason, ==,
			ORDER_REASON_REPEATED_RUNNING);
	end_attempt(&self, 1, 1, ORDER_ATTEMPT_COMPLETED);
	g_assert_cmpuint(self.dispatched[1], ==, 3);
	/* Cancelled, request 3 holds its slot until the server finishes. */
	gate_cancel(&self.gate, 3, 30, &self.sink);
	g_assert_cmpint(self.results[3].outcome, ==, ORDER_UNKNOWN);
	g_assert_cmpuint(self.n_dispatched, ==, 2);
	end_attempt(&self, 3, 1, ORDER_ATTEMPT_COMPLETED);
	g_assert_cmpuint(self.dispatched[2], ==, 2);
	gate_drain(&self.gate);
	submit(&self, 6, 0, false, ORDER_CLASS_ORDER);
	g_assert_cmpint(self.results[4].reason, ==, ORDER_REASON_DRAINING);
	gate_tick(&self.gate, 1000, &self.sink);
	g_assert_cmpint(self.results[5].outcome, ==, ORDER_UNKNOWN);
	g_assert_cmpint(self.results[5].reason, ==, ORDER_REASON_DEADLINE);
	g_assert_cmpuint(self.n_results, ==, 6);
	stop_gate(&self);
}

/* Passes the gate a grant from the home that the last claim was sent to. */
static void deliver_grant(struct test_gate *self, uint64_t instance,
			  uint64_t peer_instance, uint64_t epoch, bool complete,
			  int64_t at_ms)
{
	struct order_message message = {
		.type = ORDER_CLAIM_RESPONSE,
		.from = self->claim_to,
		.instance = instance,
		.peer_instance = peer_instance,
		.epoch = epoch,
		.key = self->claim.key,
		.owner = self->claim.owner,
		.sent_ms = self->claim.sent_ms,
		.verdict = CLAIM_GRANTED,
		.complete = complete,
	};

	gate_handle_message(&self->gate, &message, at_ms, &self->sink);
}

/*
 * Whether a request is dispatched after a grant of the first and one of the
 * second home of its key.
 */
static void test_gate_two_homes(void)
{
	static const struct {
		/* Instance of the first home, as it and the second report. */
		uint64_t first_instance, peer_instance;
		/* Epochs of the lists of both homes. */
		uint64_t first_epoch, second_epoch;
		bool first_complete, second_complete;
		int64_t second_ms;
		bool dispatched;
	} cases[] = {
		{5, 5, 2, 2, true, true, 30, true},
		{5, 5, 2, 2, true, false, 30, true},
		{5, 5, 2, 2, false, true, 30, true},
		/* Neither home is complete. */
		{5, 5, 2, 2, false, false, 30, false},
		/* The first home restarted after its grant. */
		{5, 6, 2, 2, true, true, 30, false},
		/* The homes have different lists. */
		{5, 5, 2, 3, true, true, 30, false},
		{5, 5, 1, 2, true, true, 30, false},
		/* The second grant arrived too late. */
		{5, 5, 2, 2, true, true, 20 + CLAIM_RESPONSE_TTL_MS + 1, false},
	};
	struct home_list list;
	struct test_gate self;

	fill_list(&list, 2);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		start_gate(&self);
		/* This agent is not in the home list. */
		set_name(&self.claims.options.self, "orders-9");
		claims_set_list(&self.claims, &list, false, 1);
		submit(&self, 1, 7, false, ORDER_CLASS_ORDER);
		deliver_grant(&self, cases[i].first_instance, 0,
			      cases[i].first_epoch, cases[i].first_complete,
			      20);
		deliver_grant(&self, 8, cases[i].peer_instance,
			      cases[i].second_epoch, cases[i].second_complete,
			      cases[i].second_ms);
		g_assert_cmpuint(self.n_dispatched, ==, cases[i].dispatched);
		g_assert_cmpuint(self.n_results, ==, 0);
		stop_gate(&self);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/order/home-pairs-overlap", test_home_pairs_overlap);
	g_test_add_func("/order/message-round-trip", test_message_round_trip);
	g_test_add_func("/order/claims", test_claims);
	g_test_add_func("/order/claims-not-granted", test_claims_not_granted);
	g_test_add_func("/order/copy-parts", test_copy_parts);
	g_test_add_func("/order/gate-attempt-results",
			test_gate_attempt_results);
	g_test_add_func("/order/gate-queue", test_gate_queue);
	g_test_add_func("/order/gate-two-homes", test_gate_two_homes);
	return g_test_run();
}
