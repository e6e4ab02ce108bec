/**
 * @file stream.h
 * One end of a flow once it is open: bytes in order, acknowledgements,
 * repetition of what is not acknowledged.
 */
#ifndef CAROB_EMULATOR_FLOWS_STREAM_H
#define CAROB_EMULATOR_FLOWS_STREAM_H

#include "carobtrail/kernel.h"
#include "wire.h"

typedef struct stream stream_t;

/** What an end does with its stream. */
typedef struct stream_ops {
	/** Sends a packet; all but the addresses is set. */
	void (*transmit)(stream_t *stream, wire_packet_t *packet);
	/** Bytes arrived in order. */
	void (*receive)(stream_t *stream, carob_str_t data);
	/** Both ends have closed, or this one has given up. */
	void (*ended)(stream_t *stream, bool gave_up);
} stream_ops_t;

/** One end; its user embeds it. */
struct stream {
	const stream_ops_t *ops;
	carob_kernel_t *kernel;
	carob_timer_t repeat;
	carob_timer_t acknowledge;
	carob_buf_t out;    /* bytes that are not acknowledged */
	size_t sent;	    /* of `out`, bytes that were sent */
	uint32_t send_base; /* number of the first byte of `out` */
	uint32_t next;	    /* number of the next byte from the other end */
	uint32_t echo;	    /* last one received */
	uint32_t interval_ms;
	uint32_t tries;
	uint32_t unacknowledged; /* packets since the last acknowledgement */
	bool closing;		 /* a FIN follows `out` */
	bool fin_sent;
	bool fin_acknowledged;
	bool fin_received;
	bool over;
};

/** Prepares an end whose handshake is done. */
void stream_init(stream_t *stream, const stream_ops_t *ops,
		 carob_kernel_t *kernel, uint32_t send_base, uint32_t next);

/** Queues bytes and sends what the window allows. */
void stream_send(stream_t *stream, carob_str_t data);

/** Closes this end after what is queued. */
void stream_close(stream_t *stream);

/** Handles a packet of the open flow. */
void stream_packet(stream_t *stream, const wire_packet_t *packet);

/** Sends an acknowledgement now. */
void stream_acknowledge(stream_t *stream);

/** Ends the stream without a callback and releases what it holds. */
void stream_dispose(stream_t *stream);

#endif
