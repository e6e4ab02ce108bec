#include "emulator/common/con.h"

#include "carobtrail/errors.h"
#include "net/coap_codec.h"

#include <stdlib.h>
#include <string.h>

/* Transmission parameters of RFC 7252, section 4.8. */
#define ACK_TIMEOUT_NS	  (2 * CAROB_NS_PER_S)
#define ACK_RANDOM_FACTOR 1.5
#define MAX_RETRANSMIT	  4

static void on_timeout(carob_timer_t *timer)
{
	carob_con_t *con = CAROB_CONTAINER_OF(timer, carob_con_t, timer);

	if (con->retransmissions == MAX_RETRANSMIT) {
		carob_con_stop(con);
		con->give_up(con);
		return;
	}
	con->retransmissions++;
	con->timeout_ns *= 2;
	carob_udp_send(con->udp, &con->peer, con->data, con->len);
	carob_timer_arm(con->kernel, timer,
			carob_kernel_now_ns(con->kernel) + con->timeout_ns);
}

int carob_con_start(carob_con_t *con, carob_rng_t *rng, const carob_msg_t *msg)
{
	double factor = 1 + carob_rng_unit(rng) * (ACK_RANDOM_FACTOR - 1);
	uint8_t data[CAROB_MSG_BYTES_MAX];
	int error;

	error = carob_coap_encode(data, &con->len, sizeof(data), msg);
	if (error)
		return error;
	con->data = malloc(con->len);
	if (!con->data)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate confirmable message");
	memcpy(con->data, data, con->len);
	con->retransmissions = 0;
	con->timeout_ns = (uint64_t)((double)ACK_TIMEOUT_NS * factor);
	con->timer.fire = on_timeout;
	carob_udp_send(con->udp, &con->peer, con->data, con->len);
	return carob_timer_arm(con->kernel, &con->timer,
			       carob_kernel_now_ns(con->kernel) +
				       con->timeout_ns);
}

void carob_con_stop(carob_con_t *con)
{
	if (!con->data)
		return;
	carob_timer_cancel(con->kernel, &con->timer);
	free(con->data);
	con->data = NULL;
}

bool carob_con_active(const carob_con_t *con)
{
	return con->data != NULL;
}

void carob_msg_send(carob_udp_t *udp, const carob_addr_t *to,
		    const carob_msg_t *msg)
{
	uint8_t data[CAROB_MSG_BYTES_MAX];
	size_t len;

	if (carob_coap_encode(data, &len, sizeof(data), msg) == 0)
		carob_udp_send(udp, to, data, len);
}

void carob_msg_send_empty(carob_udp_t *udp, const carob_addr_t *to,
			  carob_msg_type_t type, uint16_t mid)
{
	carob_msg_t msg = {.type = type, .mid = mid};

	carob_msg_send(udp, to, &msg);
}
