#include "tarragonflow/net/pacer.h"

#include <glib.h>
#include <string.h>

#define BITS_PER_BYTE 8
#define MS_PER_S 1000
/* Tokens are thousandths of a byte, so each ms adds bytes_per_s of them. */
#define TOKENS_PER_BYTE 1000
/* Outer IPv4 and UDP headers of a packet. */
#define IP_UDP_HEADER_BYTES 28
/* Share of the link to use; the rest is for other processes of the VM. */
#define LINK_PERCENT 95
/* Burst that the link's own queue absorbs without loss: larger of the two. */
#define BURST_MS 10
#define BURST_PACKETS 3

static int64_t bucket_size(const struct pacer *pacer)
{
	return MAX(pacer->bytes_per_s * BURST_MS, (int64_t)BURST_PACKETS *
							  pacer->packet_max *
							  TOKENS_PER_BYTE);
}

static int64_t token_cost(size_t len)
{
	return (int64_t)(len + IP_UDP_HEADER_BYTES) * TOKENS_PER_BYTE;
}

void pacer_init(struct pacer *pacer, int64_t kbit_per_s, uint32_t packet_max,
		int64_t now_ms)
{
	memset(pacer, 0, sizeof(*pacer));
	pacer->bytes_per_s =
		kbit_per_s * 1000 / BITS_PER_BYTE * LINK_PERCENT / 100;
	pacer->packet_max = packet_max;
	pacer->refilled_ms = now_ms;
	pacer->tokens = bucket_size(pacer);
	if (pacer->bytes_per_s)
		pacer->queue_storage =
			g_malloc((size_t)packet_max * PACER_QUEUE_PACKETS);
}

void pacer_finish(struct pacer *pacer)
{
	g_free(pacer->queue_storage);
}

static void refill(struct pacer *pacer, int64_t now_ms)
{
	int64_t elapsed_ms = CLAMP(now_ms - pacer->refilled_ms, 0, MS_PER_S);

	pacer->refilled_ms = now_ms;
	pacer->tokens = MIN(pacer->tokens + elapsed_ms * pacer->bytes_per_s,
			    bucket_size(pacer));
}

static void enqueue(struct pacer *pacer, const struct endpoint *to,
		    const uint8_t *head, size_t head_len, const uint8_t *body,
		    size_t body_len, int64_t now_ms)
{
	uint32_t index = (pacer->head_index + pacer->n_queued) &
			 (PACER_QUEUE_PACKETS - 1);
	struct pacer_packet *packet = &pacer->queue[index];

	packet->to = *to;
	packet->queued_ms = now_ms;
	packet->len = (uint32_t)(head_len + body_len);
	packet->data = pacer->queue_storage + (size_t)index * pacer->packet_max;
	memcpy(packet->data, head, head_len);
	memcpy(packet->data + head_len, body, body_len);
	pacer->n_queued++;
}

enum pacer_result pacer_offer(struct pacer *pacer, const struct endpoint *to,
			      const uint8_t *head, size_t head_len,
			      const uint8_t *body, size_t body_len,
			      int64_t now_ms)
{
	size_t len = head_len + body_len;

	if (!pacer->bytes_per_s)
		return PACER_SEND;
	refill(pacer, now_ms);
	if (len <= PACER_SMALL_BYTES || len > pacer->packet_max ||
	    (!pacer->n_queued && pacer->tokens > 0)) {
		pacer->tokens -= token_cost(len);
		return PACER_SEND;
	}
	if (pacer->n_queued == PACER_QUEUE_PACKETS)
		return PACER_QUEUE_FULL;
	enqueue(pacer, to, head, head_len, body, body_len, now_ms);
	return PACER_QUEUED;
}

static const struct pacer_packet *dequeue(struct pacer *pacer)
{
	const struct pacer_packet *packet = &pacer->queue[pacer->head_index];

	pacer->head_index = (pacer->head_index + 1) & (PACER_QUEUE_PACKETS - 1);
	pacer->n_queued--;
	return packet;
}

const struct pacer_packet *pacer_next(struct pacer *pacer, int64_t now_ms,
				      uint32_t *dropped)
{
	const struct pacer_packet *packet;

	if (!pacer->n_queued)
		return NULL;
	refill(pacer, now_ms);
	while (pacer->n_queued && (pacer->tokens > 0 || pacer->flushing)) {
		packet = dequeue(pacer);
		if (now_ms - packet->queued_ms > PACER_QUEUE_MAX_MS) {
			(*dropped)++;
			continue;
		}
		pacer->tokens -= token_cost(packet->len);
		return packet;
	}
	return NULL;
}

void pacer_flush(struct pacer *pacer)
{
	pacer->flushing = true;
}

int pacer_wait_ms(const struct pacer *pacer, int64_t now_ms)
{
	int64_t ready_ms = pacer->refilled_ms;

	if (!pacer->n_queued)
		return -1;
	if (pacer->tokens <= 0)
		ready_ms += -pacer->tokens / pacer->bytes_per_s + 1;
	return (int)MAX(ready_ms - now_ms, 0);
}
