/**
 * @file stream.h
 * One end of an open flow: delivers bytes in order, acknowledges them, and
 * retransmits what the other end has not acknowledged.
 */
#ifndef CAROB_EMULATOR_FLOWS_STREAM_H
#define CAROB_EMULATOR_FLOWS_STREAM_H

#include "carobtrail/kernel.h"
#include "wire.h"

typedef struct stream stream_t;

/** Callbacks of a stream. */
typedef struct stream_ops {
	/** Sends a packet, after setting its addresses. */
	void (*transmit)(stream_t *stream, wire_packet_t *packet);
	/** Receives the next bytes in order. */
	void (*receive)(stream_t *stream, carob_str_t data);
	/** Called once when both ends have closed, or when this end gives up
	 * because the other one acknowledges nothing. */
	void (*ended)(stream_t *stream, bool gave_up);
} stream_ops_t;

/** One end of a flow; its user embeds it. */
struct stream {
	const stream_ops_t *ops;
	carob_kernel_t *kernel;
	carob_timer_t retransmit;
	carob_timer_t delayed_ack;
	carob_buf_t out;	/* bytes that are not acknowledged yet */
	size_t sent;		/* number of bytes of `out` that were sent */
	uint32_t send_base;	/* sequence number of the first byte of `out` */
	uint32_t receive_next;	/* sequence number that is expected next */
	uint32_t echo;		/* echo field of the last packet received */
	uint32_t retransmit_ms; /* time until the next retransmission */
	uint32_t retransmissions; /* retransmissions without progress */
	uint32_t unacked_packets; /* packets since the last acknowledgement */
	bool closing;		  /* a FIN follows `out` */
	bool fin_sent;
	bool fin_acked;
	bool fin_received;
	bool over;
};

/**
 * Initialises an end whose handshake is done.
 *
 * @param stream the end; release what it holds with `stream_dispose`
 * @param ops callbacks, borrowed
 * @param kernel timers, borrowed
 * @param send_base sequence number of the first byte to send
 * @param receive_next sequence number of the first byte from the other end
 */
void stream_init(stream_t *stream, const stream_ops_t *ops,
		 carob_kernel_t *kernel, uint32_t send_base,
		 uint32_t receive_next);

/** Queues bytes, which are copied, and sends what the window allows. */
void stream_send(stream_t *stream, carob_str_t data);

/** Closes this end once all queued bytes are sent. */
void stream_close(stream_t *stream);

/** Processes a packet that was received in the open flow. */
void stream_process_packet(stream_t *stream, const wire_packet_t *packet);

/** Sends an acknowledgement now. */
void stream_acknowledge(stream_t *stream);

/** Ends the stream without calling `ended` and releases what it holds. */
void stream_dispose(stream_t *stream);

#endif
