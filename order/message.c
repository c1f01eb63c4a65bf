#include "tarragonflow/order/message.h"

#include <glib.h>
#include <string.h>

#include "proto/order.pb-c.h"

/* The strings of @pb point into @message; nothing is copied. */
static void fill_scalars(const struct order_message *message,
			 Order__OrderMessage *pb)
{
	pb->type = message->type;
	pb->from = (char *)message->from.data;
	pb->instance = message->instance;
	pb->epoch = message->epoch;
	pb->key_hi = message->key.hi;
	pb->key_lo = message->key.lo;
	pb->owner_instance = message->owner.instance;
	pb->owner_request = message->owner.request;
	pb->age_ms = message->age_ms;
	pb->sent_ms = message->sent_ms;
	pb->refuse_only = message->refuse_only;
	pb->verdict = message->verdict;
	pb->state = message->state;
	pb->complete = message->complete;
	pb->complete_before = message->complete_before;
	pb->last = message->last;
	pb->part = message->part;
	pb->room = message->free_slots;
	pb->peer_instance = message->peer_instance;
	pb->settled = message->synced;
	pb->joining = message->join_request;
	pb->time_left_ms = message->time_left_ms;
	pb->request = message->request;
	pb->idempotent = message->idempotent;
	pb->outcome = message->outcome;
	pb->reason = message->reason;
	pb->payload.data = (uint8_t *)message->payload.data;
	pb->payload.len = message->payload.len;
}

static void fill_list(const struct home_list *list, Order__HomeList *pb,
		      char **names)
{
	order__home_list__init(pb);
	pb->epoch = list->epoch;
	pb->n_names = list->n;
	pb->names = names;
	for (size_t i = 0; i < list->n; i++)
		names[i] = (char *)list->names[i].data;
}

static void fill_copies(const struct order_message *message,
			Order__ClaimCopy *copies, Order__ClaimCopy **pointers)
{
	for (size_t i = 0; i < message->n_copies; i++) {
		const struct claim_copy *copy = &message->copies[i];

		order__claim_copy__init(&copies[i]);
		copies[i].key_hi = copy->key.hi;
		copies[i].key_lo = copy->key.lo;
		copies[i].owner_instance = copy->owner.instance;
		copies[i].owner_request = copy->owner.request;
		copies[i].state = copy->state;
		copies[i].age_ms = copy->age_ms;
		pointers[i] = &copies[i];
	}
}

static void fill_gaps(const struct order_message *message,
		      Order__ClaimGap *gaps, Order__ClaimGap **pointers)
{
	for (size_t i = 0; i < message->n_gaps; i++) {
		const struct claim_gap *gap = &message->gaps[i];

		order__claim_gap__init(&gaps[i]);
		gaps[i].epoch = gap->epoch;
		gaps[i].a = (char *)gap->home_a.data;
		gaps[i].b = (char *)gap->home_b.data;
		gaps[i].left_ms = gap->until_ms;
		pointers[i] = &gaps[i];
	}
}

static void append_frame(const Order__OrderMessage *pb, struct strbuf *out)
{
	size_t len = order__order_message__get_packed_size(pb);
	uint32_t header = GUINT32_TO_BE((uint32_t)len);
	uint8_t *packed = g_malloc(len);

	order__order_message__pack(pb, packed);
	strbuf_add(out, &header, sizeof(header));
	strbuf_add(out, packed, len);
	g_free(packed);
}

void order_message_encode(const struct order_message *message,
			  struct strbuf *out)
{
	Order__ClaimCopy *copy_pointers[ORDER_COPY_CLAIMS_MAX];
	Order__ClaimGap *gap_pointers[CLAIM_GAPS_MAX];
	Order__ClaimCopy copies[ORDER_COPY_CLAIMS_MAX];
	char *gap_names[CLAIM_GAPS_MAX][HOMES_MAX];
	Order__HomeList gap_lists[CLAIM_GAPS_MAX];
	Order__ClaimGap gaps[CLAIM_GAPS_MAX];
	char *names[HOMES_MAX];
	Order__HomeList list;
	Order__OrderMessage pb;

	order__order_message__init(&pb);
	fill_scalars(message, &pb);
	if (message->list) {
		fill_list(message->list, &list, names);
		pb.list = &list;
	}
	fill_copies(message, copies, copy_pointers);
	pb.copies = copy_pointers;
	pb.n_copies = message->n_copies;
	fill_gaps(message, gaps, gap_pointers);
	for (size_t i = 0; i < message->n_gaps; i++) {
		if (!message->gaps[i].list)
			continue;
		fill_list(message->gaps[i].list, &gap_lists[i], gap_names[i]);
		gaps[i].list = &gap_lists[i];
	}
	pb.gaps = gap_pointers;
	pb.n_gaps = message->n_gaps;
	append_frame(&pb, out);
}

static bool decode_list(const Order__HomeList *pb, struct home_list *list)
{
	if (pb->n_names > HOMES_MAX)
		return false;
	list->epoch = pb->epoch;
	list->n = pb->n_names;
	for (size_t i = 0; i < list->n; i++)
		if (!name_set(&list->names[i], str_from(pb->names[i])))
			return false;
	return true;
}

static bool decode_copies(const Order__OrderMessage *pb,
			  struct order_message_buffer *buffer)
{
	if (pb->n_copies > ORDER_COPY_CLAIMS_MAX)
		return false;
	for (size_t i = 0; i < pb->n_copies; i++) {
		const Order__ClaimCopy *pb_copy = pb->copies[i];
		struct claim_copy *copy = &buffer->copies[i];

		if (pb_copy->state > CLAIM_RELEASED)
			return false;
		copy->key.hi = pb_copy->key_hi;
		copy->key.lo = pb_copy->key_lo;
		copy->owner.instance = pb_copy->owner_instance;
		copy->owner.request = pb_copy->owner_request;
		copy->state = (enum claim_state)pb_copy->state;
		copy->age_ms = pb_copy->age_ms;
	}
	buffer->message.copies = buffer->copies;
	buffer->message.n_copies = pb->n_copies;
	return true;
}

static bool decode_gaps(const Order__OrderMessage *pb,
			struct order_message_buffer *buffer)
{
	if (pb->n_gaps > CLAIM_GAPS_MAX)
		return false;
	for (size_t i = 0; i < pb->n_gaps; i++) {
		const Order__ClaimGap *pb_gap = pb->gaps[i];
		struct claim_gap *gap = &buffer->gaps[i];

		gap->epoch = pb_gap->epoch;
		gap->until_ms = pb_gap->left_ms;
		if (!name_set(&gap->home_a, str_from(pb_gap->a)) ||
		    !name_set(&gap->home_b, str_from(pb_gap->b)))
			return false;
		gap->list = pb_gap->list ? &buffer->gap_lists[i] : NULL;
		if (pb_gap->list &&
		    !decode_list(pb_gap->list, &buffer->gap_lists[i]))
			return false;
	}
	buffer->message.gaps = buffer->gaps;
	buffer->message.n_gaps = pb->n_gaps;
	return true;
}

static bool decode_scalars(const Order__OrderMessage *pb,
			   struct order_message *message)
{
	if (pb->type < ORDER_CLAIM || pb->type > ORDER_SETTLE_ACK ||
	    pb->verdict > CLAIM_TABLE_FULL || pb->state > CLAIM_RELEASED ||
	    pb->outcome > ORDER_UNKNOWN ||
	    !name_set(&message->from, str_from(pb->from)))
		return false;
	message->type = (enum order_message_type)pb->type;
	message->instance = pb->instance;
	message->epoch = pb->epoch;
	message->key.hi = pb->key_hi;
	message->key.lo = pb->key_lo;
	message->owner.instance = pb->owner_instance;
	message->owner.request = pb->owner_request;
	message->age_ms = pb->age_ms;
	message->sent_ms = pb->sent_ms;
	message->refuse_only = pb->refuse_only;
	message->verdict = (enum claim_verdict)pb->verdict;
	message->state = (enum claim_state)pb->state;
	message->complete = pb->complete;
	message->complete_before = pb->complete_before;
	message->last = pb->last;
	message->part = pb->part;
	message->free_slots = pb->room;
	message->peer_instance = pb->peer_instance;
	message->synced = pb->settled;
	message->join_request = pb->joining;
	message->time_left_ms = pb->time_left_ms;
	message->request = pb->request;
	message->idempotent = pb->idempotent;
	message->outcome = (enum order_outcome)pb->outcome;
	message->reason = pb->reason;
	return true;
}

bool order_message_decode(struct order_message_buffer *buffer,
			  const uint8_t *data, size_t len)
{
	struct order_message *message = &buffer->message;
	Order__OrderMessage *pb;
	bool is_valid;

	memset(message, 0, sizeof(*message));
	pb = order__order_message__unpack(NULL, len, data);
	if (!pb)
		return false;
	is_valid = decode_scalars(pb, message) && decode_copies(pb, buffer) &&
		   decode_gaps(pb, buffer) &&
		   (!pb->list || decode_list(pb->list, &buffer->list));
	if (pb->list)
		message->list = &buffer->list;
	strbuf_reset(&buffer->payload);
	strbuf_add(&buffer->payload, pb->payload.data, pb->payload.len);
	message->payload = strbuf_str(&buffer->payload);
	order__order_message__free_unpacked(pb, NULL);
	return is_valid;
}

void order_message_buffer_init(struct order_message_buffer *buffer)
{
	memset(buffer, 0, sizeof(*buffer));
	strbuf_init(&buffer->payload);
}

void order_message_buffer_finish(struct order_message_buffer *buffer)
{
	strbuf_finish(&buffer->payload);
}
