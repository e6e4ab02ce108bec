#include "core/manifest/delta_log.h"

static carob_delta_t *delta_at(carob_delta_log_t *log, size_t i)
{
	return &log->deltas[(log->first + i) % CAROB_DELTA_LOG_MAX];
}

static void remove_oldest(carob_delta_log_t *log)
{
	carob_delta_t *oldest = delta_at(log, 0);

	log->bytes -= oldest->text.len;
	carob_buf_dispose(&oldest->text);
	log->first = (log->first + 1) % CAROB_DELTA_LOG_MAX;
	log->count--;
}

void carob_delta_log_dispose(carob_delta_log_t *log)
{
	while (log->count > 0)
		remove_oldest(log);
}

void carob_delta_log_add(carob_delta_log_t *log, carob_delta_t *delta)
{
	if (delta->text.len > CAROB_DELTA_LOG_BYTES_MAX) {
		carob_buf_dispose(&delta->text);
		return;
	}
	while (log->count == CAROB_DELTA_LOG_MAX ||
	       log->bytes + delta->text.len > CAROB_DELTA_LOG_BYTES_MAX)
		remove_oldest(log);
	log->bytes += delta->text.len;
	*delta_at(log, log->count++) = *delta;
	delta->text = (carob_buf_t)CAROB_BUF_INIT;
}

const carob_delta_t *carob_delta_log_find(const carob_delta_log_t *log,
					  uint64_t from)
{
	for (size_t i = 0; i < log->count; i++) {
		const carob_delta_t *delta =
			&log->deltas[(log->first + i) % CAROB_DELTA_LOG_MAX];

		if (delta->from == from)
			return delta;
	}
	return NULL;
}
