#include "stream.h"

#include <string.h>

#define WINDOW_BYTES	    (16 * WIRE_DATA_MAX)
#define REPEAT_MS_FIRST	    200
#define REPEAT_MS_MAX	    1600
#define TRIES_MAX	    8
#define PACKETS_TO_ANSWER   2
#define ACKNOWLEDGE_LATE_MS 40

static void arm(stream_t *stream, carob_timer_t *timer, uint32_t ms)
{
	(void)carob_timer_arm(stream->kernel, timer,
			      carob_kernel_now_ns(stream->kernel) +
				      ms * CAROB_NS_PER_MS);
}

static void transmit(stream_t *stream, size_t offset, size_t len, uint8_t flags)
{
	wire_packet_t packet = {
		.seq = stream->send_base + (uint32_t)offset,
		.ack = stream->next,
		.flags = flags | WIRE_ACK,
		.echo = stream->echo,
	};

	if (len > 0)
		packet.data = (carob_str_t){stream->out.ptr + offset, len};
	stream->unacknowledged = 0;
	carob_timer_cancel(stream->kernel, &stream->acknowledge);
	stream->ops->transmit(stream, &packet);
}

void stream_acknowledge(stream_t *stream)
{
	transmit(stream, stream->sent, 0, 0);
}

static bool has_unacknowledged(const stream_t *stream)
{
	return stream->sent > 0 ||
	       (stream->fin_sent && !stream->fin_acknowledged);
}

static void send_more(stream_t *stream)
{
	while (stream->sent < stream->out.len && stream->sent < WINDOW_BYTES) {
		size_t len = stream->out.len - stream->sent;

		if (len > WIRE_DATA_MAX)
			len = WIRE_DATA_MAX;
		transmit(stream, stream->sent, len, 0);
		stream->sent += len;
	}
	if (stream->closing && !stream->fin_sent &&
	    stream->sent == stream->out.len) {
		transmit(stream, stream->sent, 0, WIRE_FIN);
		stream->fin_sent = true;
	}
	if (has_unacknowledged(stream) && !carob_timer_armed(&stream->repeat))
		arm(stream, &stream->repeat, stream->interval_ms);
}

static void end(stream_t *stream, bool gave_up)
{
	if (stream->over)
		return;
	stream->over = true;
	carob_timer_cancel(stream->kernel, &stream->repeat);
	carob_timer_cancel(stream->kernel, &stream->acknowledge);
	stream->ops->ended(stream, gave_up);
}

static void on_repeat(carob_timer_t *timer)
{
	stream_t *stream = CAROB_CONTAINER_OF(timer, stream_t, repeat);

	if (++stream->tries > TRIES_MAX) {
		end(stream, true);
		return;
	}
	stream->interval_ms *= 2;
	if (stream->interval_ms > REPEAT_MS_MAX)
		stream->interval_ms = REPEAT_MS_MAX;
	stream->sent = 0;
	stream->fin_sent = stream->fin_sent && stream->fin_acknowledged;
	send_more(stream);
}

static void on_acknowledge(carob_timer_t *timer)
{
	stream_acknowledge(CAROB_CONTAINER_OF(timer, stream_t, acknowledge));
}

void stream_init(stream_t *stream, const stream_ops_t *ops,
		 carob_kernel_t *kernel, uint32_t send_base, uint32_t next)
{
	memset(stream, 0, sizeof(*stream));
	stream->ops = ops;
	stream->kernel = kernel;
	stream->repeat.fire = on_repeat;
	stream->acknowledge.fire = on_acknowledge;
	stream->send_base = send_base;
	stream->next = next;
	stream->interval_ms = REPEAT_MS_FIRST;
}

void stream_send(stream_t *stream, carob_str_t data)
{
	if (stream->over || stream->closing)
		return;
	(void)carob_buf_append(&stream->out, data.ptr, data.len);
	send_more(stream);
}

void stream_close(stream_t *stream)
{
	stream->closing = true;
	send_more(stream);
}

static void take_acknowledgement(stream_t *stream, uint32_t ack)
{
	uint32_t bytes = ack - stream->send_base;

	if (bytes == stream->sent + 1 && stream->fin_sent) {
		stream->fin_acknowledged = true;
		bytes--;
	}
	if (bytes > stream->sent)
		return;
	if (bytes > 0 || stream->fin_acknowledged) {
		carob_timer_cancel(stream->kernel, &stream->repeat);
		stream->interval_ms = REPEAT_MS_FIRST;
		stream->tries = 0;
	}
	if (bytes == 0)
		return;
	memmove(stream->out.ptr, stream->out.ptr + bytes,
		stream->out.len - bytes);
	stream->out.len -= bytes;
	stream->sent -= bytes;
	stream->send_base += bytes;
}

static void take_data(stream_t *stream, const wire_packet_t *packet)
{
	bool fin = packet->flags & WIRE_FIN;

	if (packet->data.len == 0 && !fin)
		return;
	if (packet->seq != stream->next || stream->fin_received) {
		/* Tells the other end which byte is expected. */
		stream_acknowledge(stream);
		return;
	}
	stream->next += (uint32_t)packet->data.len;
	stream->unacknowledged++;
	if (packet->data.len)
		stream->ops->receive(stream, packet->data);
	if (stream->over)
		return;
	if (fin) {
		stream->next++;
		stream->fin_received = true;
	}
	if (fin || stream->unacknowledged >= PACKETS_TO_ANSWER)
		stream_acknowledge(stream);
	else if (stream->unacknowledged > 0)
		arm(stream, &stream->acknowledge, ACKNOWLEDGE_LATE_MS);
}

void stream_packet(stream_t *stream, const wire_packet_t *packet)
{
	if (stream->over)
		return;
	stream->echo = packet->echo;
	if (packet->flags & WIRE_ACK)
		take_acknowledgement(stream, packet->ack);
	take_data(stream, packet);
	if (stream->over)
		return;
	send_more(stream);
	if (stream->fin_received && stream->fin_acknowledged)
		end(stream, false);
}

void stream_dispose(stream_t *stream)
{
	stream->over = true;
	carob_timer_cancel(stream->kernel, &stream->repeat);
	carob_timer_cancel(stream->kernel, &stream->acknowledge);
	carob_buf_dispose(&stream->out);
}
