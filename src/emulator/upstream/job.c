#include "job.h"

#include "emulator/common/con.h"
#include "emulator/common/payload.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* How long a cancel is stored that arrives before its request. */
#define EARLY_CANCEL_LIFETIME_NS (10 * CAROB_NS_PER_S)

typedef enum job_state {
	JOB_RUNNING,
	JOB_CANCELLING,	      /* cancelled, but still uses its slot */
	JOB_RESPONSE_UNACKED, /* its separate response is not acknowledged yet */
	JOB_CANCELLED_EARLY,  /* its cancel arrived before the request */
} job_state_t;

struct upstream_job {
	upstream_host_t *host;
	carob_timer_t timer;	 /* ends the run or the state */
	carob_timer_t ack_timer; /* acknowledges a request that takes long */
	carob_con_t con;
	job_state_t state;
	upstream_origin_t origin;
	upstream_origin_t cancel;
	carob_request_t request;
	uint8_t method;
	bool acked;
	bool expires; /* its deadline passes before it is done */
	uint16_t response_mid;
	carob_run_record_t record;
	upstream_job_t *prev;
	upstream_job_t *next;
};

static uint64_t now_ns(const upstream_job_t *job)
{
	return carob_kernel_now_ns(job->host->kernel);
}

static void free_job(upstream_job_t *job)
{
	upstream_host_t *host = job->host;

	carob_timer_cancel(host->kernel, &job->timer);
	carob_timer_cancel(host->kernel, &job->ack_timer);
	carob_con_stop(&job->con);
	DL_DELETE(host->jobs, job);
	free(job);
}

static void on_give_up(carob_con_t *con)
{
	free_job(CAROB_CONTAINER_OF(con, upstream_job_t, con));
}

static void end_run(upstream_job_t *job, carob_run_end_t end)
{
	job->host->slots_used--;
	carob_timer_cancel(job->host->kernel, &job->ack_timer);
	job->record.end = end;
	job->record.end_us = now_ns(job) / CAROB_NS_PER_US;
	if (job->record.rid)
		carob_run_record_write(job->host->ledger, &job->record);
}

static void send_response(upstream_job_t *job, carob_msg_t *msg)
{
	upstream_host_t *host = job->host;

	if (!job->acked) {
		upstream_host_respond(host, &job->origin, msg);
		free_job(job);
		return;
	}
	job->state = JOB_RESPONSE_UNACKED;
	job->response_mid = upstream_host_next_mid(host);
	msg->type = CAROB_MSG_CON;
	msg->mid = job->response_mid;
	msg->token_len = job->origin.token_len;
	memcpy(msg->token, job->origin.token, sizeof(msg->token));
	job->con.give_up = on_give_up;
	job->con.kernel = host->kernel;
	job->con.udp = host->udp;
	job->con.peer = job->origin.peer;
	if (carob_con_start(&job->con, host->rng, msg) != 0)
		free_job(job);
}

/* Fills the content up to a block of a download and adds the block option. */
static void write_block(carob_msg_t *msg, carob_buf_t *content,
			uint8_t option[4], const upstream_job_t *job)
{
	carob_block_t block = job->request.block;
	size_t bytes = carob_block_bytes(&block);

	block.more = block.number + 1 <
		     job->host->settings->service->block_count;
	while (content->len < bytes)
		if (carob_buf_append(content, ".", 1) != 0)
			return;
	msg->other[msg->other_count++] = (carob_msg_option_t){
		23, {(char *)option, carob_block_write(option, &block)}};
}

static void respond_done(upstream_job_t *job)
{
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t content = CAROB_BUF_INIT;
	char header_text[CAROB_PAYLOAD_HEADER_MAX];
	carob_msg_t msg = {.code = CAROB_CODE_CONTENT};
	carob_payload_header_t header = {
		.rid = job->request.rid,
		.sequence = job->request.block.number,
	};
	uint8_t option[4];

	memcpy(header.service, job->record.service, sizeof(header.service));
	memcpy(header.upstream, job->record.upstream, sizeof(header.upstream));
	carob_buf_append(&content, header_text,
			 carob_payload_write(header_text, &header));
	if (job->method == CAROB_CODE_POST)
		msg.code = CAROB_CODE_CHANGED;
	if (job->request.has_block)
		write_block(&msg, &content, option, job);
	msg.payload = carob_buf_view(&content);
	send_response(job, &msg);
}

static void respond_expired(upstream_job_t *job)
{
	carob_msg_t msg = {.code = CAROB_CODE_GATEWAY_TIMEOUT};

	send_response(job, &msg);
}

static void confirm_cancel(upstream_job_t *job)
{
	carob_msg_t msg = {.code = CAROB_CODE_DELETED};

	upstream_host_respond(job->host, &job->cancel, &msg);
}

static void on_timer(carob_timer_t *timer)
{
	upstream_job_t *job = CAROB_CONTAINER_OF(timer, upstream_job_t, timer);

	switch (job->state) {
	case JOB_RUNNING:
		end_run(job,
			job->expires ? CAROB_RUN_CANCELLED : CAROB_RUN_DONE);
		if (job->expires)
			respond_expired(job);
		else
			respond_done(job);
		break;
	case JOB_CANCELLING:
		end_run(job, CAROB_RUN_CANCELLED);
		confirm_cancel(job);
		free_job(job);
		break;
	case JOB_RESPONSE_UNACKED:
	case JOB_CANCELLED_EARLY:
		free_job(job);
		break;
	}
}

static void on_ack_timer(carob_timer_t *timer)
{
	upstream_job_t *job =
		CAROB_CONTAINER_OF(timer, upstream_job_t, ack_timer);

	job->acked = true;
	carob_msg_send_empty(job->host->udp, &job->origin.peer, CAROB_MSG_ACK,
			     job->origin.mid);
}

static upstream_job_t *find_job(upstream_host_t *host,
				const upstream_origin_t *origin,
				job_state_t state)
{
	upstream_job_t *job;

	DL_FOREACH (host->jobs, job) {
		if (job->state == state &&
		    carob_addr_eq(&job->origin.peer, &origin->peer) &&
		    job->origin.token_len == origin->token_len &&
		    memcmp(job->origin.token, origin->token,
			   origin->token_len) == 0)
			return job;
	}
	return NULL;
}

static upstream_job_t *add_job(upstream_host_t *host,
			       const upstream_origin_t *origin,
			       job_state_t state)
{
	upstream_job_t *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->host = host;
	job->state = state;
	job->origin = *origin;
	job->timer.fire = on_timer;
	job->ack_timer.fire = on_ack_timer;
	DL_APPEND(host->jobs, job);
	return job;
}

static void start_run(upstream_job_t *job, const carob_msg_t *msg)
{
	const upstream_service_t *service = job->host->settings->service;
	uint64_t work_ns = upstream_host_random_service_ns(job->host);
	uint64_t now = now_ns(job);

	upstream_host_init_record(&job->record, job->host, job->request.rid,
				  now);
	if (msg->has_deadline && msg->deadline_ms * CAROB_NS_PER_MS < work_ns) {
		job->expires = true;
		work_ns = msg->deadline_ms * CAROB_NS_PER_MS;
	}
	job->host->runs++;
	job->host->slots_used++;
	carob_timer_arm(job->host->kernel, &job->timer, now + work_ns);
	if (msg->type == CAROB_MSG_CON)
		carob_timer_arm(job->host->kernel, &job->ack_timer,
				now + service->ack_ms * CAROB_NS_PER_MS);
}

void upstream_job_start(upstream_host_t *host, const carob_msg_t *msg,
			const upstream_origin_t *origin,
			const carob_request_t *request)
{
	upstream_job_t *job;

	if (host->shedding || find_job(host, origin, JOB_CANCELLED_EARLY) ||
	    host->slots_used >= host->settings->service->slots) {
		upstream_host_shed(host, origin, request->rid);
		return;
	}
	job = add_job(host, origin, JOB_RUNNING);
	if (!job)
		return;
	job->method = msg->code;
	job->request = *request;
	job->request.path = CAROB_STR("");
	start_run(job, msg);
}

void upstream_job_cancel(upstream_host_t *host, const upstream_origin_t *origin)
{
	upstream_job_t *job = find_job(host, origin, JOB_RUNNING);
	uint64_t now = carob_kernel_now_ns(host->kernel);
	uint64_t cancel_ns =
		host->settings->service->cancel_ms * CAROB_NS_PER_MS;

	if (job) {
		job->state = JOB_CANCELLING;
		job->cancel = *origin;
		carob_timer_cancel(host->kernel, &job->ack_timer);
		carob_timer_arm(host->kernel, &job->timer, now + cancel_ns);
		return;
	}
	job = add_job(host, origin, JOB_CANCELLED_EARLY);
	if (!job)
		return;
	job->cancel = *origin;
	confirm_cancel(job);
	carob_timer_arm(host->kernel, &job->timer,
			now + EARLY_CANCEL_LIFETIME_NS);
}

void upstream_job_acknowledged(upstream_host_t *host, const carob_addr_t *peer,
			       uint16_t mid)
{
	upstream_job_t *job;
	upstream_job_t *next;

	DL_FOREACH_SAFE (host->jobs, job, next) {
		if (job->state == JOB_RESPONSE_UNACKED &&
		    job->response_mid == mid &&
		    carob_addr_eq(&job->origin.peer, peer))
			free_job(job);
	}
}

void upstream_jobs_dispose(upstream_host_t *host)
{
	upstream_job_t *job;
	upstream_job_t *next;

	DL_FOREACH_SAFE (host->jobs, job, next) {
		if (job->state == JOB_RUNNING || job->state == JOB_CANCELLING)
			end_run(job, CAROB_RUN_OPEN);
		free_job(job);
	}
}
