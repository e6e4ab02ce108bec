#include "stream.h"

#include <string.h>

#define WINDOW_BYTES	    (16 * WIRE_DATA_MAX)
#define RETRANSMIT_MS_FIRST 200
#define RETRANSMIT_MS_MAX   1600
#define RETRANSMISSIONS_MAX 8
#define PACKETS_PER_ACK	    2
#define DELAYED_ACK_MS	    40

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
		.ack = stream->receive_next,
		.flags = flags | WIRE_ACK,
		.echo = stream->echo,
	};

	if (len > 0)
		packet.data = (carob_str_t){stream->out.ptr + offset, len};
	stream->unacked_packets = 0;
	carob_timer_cancel(stream->kernel, &stream->delayed_ack);
	stream->ops->transmit(stream, &packet);
}

void stream_acknowledge(stream_t *stream)
{
	transmit(stream, stream->sent, 0, 0);
}

static bool has_unacked_data(const stream_t *stream)
{
	return stream->sent > 0 || (stream->fin_sent && !stream->fin_acked);
}

static void send_window(stream_t *stream)
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
	if (has_unacked_data(stream) && !carob_timer_armed(&stream->retransmit))
		arm(stream, &stream->retransmit, stream->retransmit_ms);
}

static void end_stream(stream_t *stream, bool gave_up)
{
	if (stream->over)
		return;
	stream->over = true;
	carob_timer_cancel(stream->kernel, &stream->retransmit);
	carob_timer_cancel(stream->kernel, &stream->delayed_ack);
	stream->ops->ended(stream, gave_up);
}

static void on_retransmit(carob_timer_t *timer)
{
	stream_t *stream = CAROB_CONTAINER_OF(timer, stream_t, retransmit);

	if (++stream->retransmissions > RETRANSMISSIONS_MAX) {
		end_stream(stream, true);
		return;
	}
	stream->retransmit_ms *= 2;
	if (stream->retransmit_ms > RETRANSMIT_MS_MAX)
		stream->retransmit_ms = RETRANSMIT_MS_MAX;
	stream->sent = 0;
	stream->fin_sent = stream->fin_sent && stream->fin_acked;
	send_window(stream);
}

static void on_delayed_ack(carob_timer_t *timer)
{
	stream_acknowledge(CAROB_CONTAINER_OF(timer, stream_t, delayed_ack));
}

void stream_init(stream_t *stream, const stream_ops_t *ops,
		 carob_kernel_t *kernel, uint32_t send_base,
		 uint32_t receive_next)
{
	memset(stream, 0, sizeof(*stream));
	stream->ops = ops;
	stream->kernel = kernel;
	stream->retransmit.fire = on_retransmit;
	stream->delayed_ack.fire = on_delayed_ack;
	stream->send_base = send_base;
	stream->receive_next = receive_next;
	stream->retransmit_ms = RETRANSMIT_MS_FIRST;
}

void stream_send(stream_t *stream, carob_str_t data)
{
	if (stream->over || stream->closing)
		return;
	(void)carob_buf_append(&stream->out, data.ptr, data.len);
	send_window(stream);
}

void stream_close(stream_t *stream)
{
	stream->closing = true;
	send_window(stream);
}

static void process_ack(stream_t *stream, uint32_t ack)
{
	uint32_t bytes = ack - stream->send_base;

	if (bytes == stream->sent + 1 && stream->fin_sent) {
		stream->fin_acked = true;
		bytes--;
	}
	if (bytes > stream->sent)
		return;
	if (bytes > 0 || stream->fin_acked) {
		carob_timer_cancel(stream->kernel, &stream->retransmit);
		stream->retransmit_ms = RETRANSMIT_MS_FIRST;
		stream->retransmissions = 0;
	}
	if (bytes == 0)
		return;
	memmove(stream->out.ptr, stream->out.ptr + bytes,
		stream->out.len - bytes);
	stream->out.len -= bytes;
	stream->sent -= bytes;
	stream->send_base += bytes;
}

static void process_data(stream_t *stream, const wire_packet_t *packet)
{
	bool fin = packet->flags & WIRE_FIN;

	if (packet->data.len == 0 && !fin)
		return;
	if (packet->seq != stream->receive_next || stream->fin_received) {
		/* The acknowledgement names the byte that is expected. */
		stream_acknowledge(stream);
		return;
	}
	stream->receive_next += (uint32_t)packet->data.len;
	stream->unacked_packets++;
	if (packet->data.len)
		stream->ops->receive(stream, packet->data);
	if (stream->over)
		return;
	if (fin) {
		stream->receive_next++;
		stream->fin_received = true;
	}
	if (fin || stream->unacked_packets >= PACKETS_PER_ACK)
		stream_acknowledge(stream);
	else if (stream->unacked_packets > 0)
		arm(stream, &stream->delayed_ack, DELAYED_ACK_MS);
}

void stream_process_packet(stream_t *stream, const wire_packet_t *packet)
{
	if (stream->over)
		return;
	stream->echo = packet->echo;
	if (packet->flags & WIRE_ACK)
		process_ack(stream, packet->ack);
	process_data(stream, packet);
	if (stream->over)
		return;
	send_window(stream);
	if (stream->fin_received && stream->fin_acked)
		end_stream(stream, false);
}

void stream_dispose(stream_t *stream)
{
	stream->over = true;
	carob_timer_cancel(stream->kernel, &stream->retransmit);
	carob_timer_cancel(stream->kernel, &stream->delayed_ack);
	carob_buf_dispose(&stream->out);
}
