#include "carobtrail/msg.h"

#define CODE_CLASS_SHIFT   5
#define OBSERVE_REGISTER   0
#define OBSERVE_DEREGISTER 1

bool carob_msg_is_request(const carob_msg_t *msg)
{
	return msg->code != CAROB_CODE_EMPTY &&
	       msg->code >> CODE_CLASS_SHIFT == 0;
}

bool carob_msg_is_response(const carob_msg_t *msg)
{
	unsigned int class = msg->code >> CODE_CLASS_SHIFT;

	return class == 2 || class == 4 || class == 5;
}

bool carob_msg_is_idempotent(const carob_msg_t *msg)
{
	switch (msg->code) {
	case CAROB_CODE_GET:
	case CAROB_CODE_FETCH:
	case CAROB_CODE_PUT:
	case CAROB_CODE_DELETE:
	case CAROB_CODE_IPATCH:
		return true;
	default:
		return false;
	}
}

static bool is_observable(const carob_msg_t *msg)
{
	return msg->has_observe &&
	       (msg->code == CAROB_CODE_GET || msg->code == CAROB_CODE_FETCH);
}

bool carob_msg_is_registration(const carob_msg_t *msg)
{
	return is_observable(msg) && msg->observe == OBSERVE_REGISTER;
}

bool carob_msg_is_cancel(const carob_msg_t *msg)
{
	return is_observable(msg) && msg->observe == OBSERVE_DEREGISTER;
}
