#include "core/entry_fixture.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS	       10
#define DELIVERIES_MAX 100000

#define UPSTREAM_JSON(id, name, addr)                                          \
	"{\"id\": " id ", \"incarnation\": 1, \"name\": \"" name               \
	"\", \"zone\": \"macon-a\", \"addr\": \"" addr                         \
	":5683\", \"state\": \"active\"}"
#define SERVICE_JSON(id, name, addr, upstreams)                                \
	"{\"id\": " id ", \"name\": \"" name "\", \"addr\": \"" addr           \
	"\", \"slots\": 2, \"connections\": 100, \"reports_load\": false,"     \
	" \"max_runtime_ms\": 30000, \"upstreams\": [" upstreams "]}"
#define MANIFEST_JSON(first, second)                                           \
	"{\"deployment\": \"test\", \"zones\": [\"macon-a\"], \"services\": "  \
	"[" SERVICE_JSON("1", "fieldline", "127.0.0.1:5701",                   \
			 first) "," SERVICE_JSON("2", "certvault",             \
						 "127.0.0.1:5702",             \
						 second) "]}"

#define UPSTREAM_A UPSTREAM_JSON("101", "a", "127.0.1.1")
#define UPSTREAM_B UPSTREAM_JSON("102", "b", "127.0.1.2")
#define UPSTREAM_C UPSTREAM_JSON("103", "c", "127.0.1.3")
#define UPSTREAM_D UPSTREAM_JSON("204", "d", "127.0.2.1")
#define UPSTREAM_E UPSTREAM_JSON("205", "e", "127.0.2.2")

static const char manifest_json[] = MANIFEST_JSON(
	UPSTREAM_A "," UPSTREAM_B "," UPSTREAM_C, UPSTREAM_D "," UPSTREAM_E);
static const char reused_upstream_json[] = MANIFEST_JSON(
	UPSTREAM_B "," UPSTREAM_C, UPSTREAM_A "," UPSTREAM_D "," UPSTREAM_E);

static const carob_addr_t caller_addr = {{10, 0, 0, 1}, 4000, 4};

static void *grow_array(void *items, size_t *cap, size_t count, size_t size)
{
	if (count < *cap)
		return items;
	*cap = *cap ? *cap * 2 : 16;
	items = realloc(items, *cap * size);
	if (!items)
		abort();
	return items;
}

static carob_msg_t unpack(const carob_packed_msg_t *packed)
{
	carob_msg_t msg;

	CU_ASSERT_EQUAL_FATAL(
		carob_msg_unpack(&msg, packed->bytes, packed->len), 0);
	return msg;
}

static fixture_packet_t *add_packet(fixture_t *f, const carob_msg_t *msg)
{
	fixture_packet_t *packet;

	f->packets = grow_array(f->packets, &f->packet_cap, f->packet_count,
				sizeof(*f->packets));
	packet = &f->packets[f->packet_count++];
	memset(packet, 0, sizeof(*packet));
	packet->msg = carob_msg_pack(msg);
	return packet;
}

/* Port of an instance */

static fixture_t *fixture_of_port(carob_entry_port_t *port, size_t *index)
{
	struct fixture_port *p = (struct fixture_port *)port;

	*index = p->index;
	return p->fixture;
}

static void to_caller(carob_entry_port_t *port, uint32_t service_id,
		      const carob_addr_t *caller, const carob_msg_t *msg)
{
	size_t index;
	fixture_t *f = fixture_of_port(port, &index);
	fixture_packet_t *packet = add_packet(f, msg);

	packet->kind = FIXTURE_TO_CALLER;
	packet->instance = index;
	packet->service_id = service_id;
	packet->caller = *caller;
}

static void to_upstream(carob_entry_port_t *port,
			const carob_manifest_upstream_t *upstream,
			uint32_t path, const carob_msg_t *msg)
{
	size_t index;
	fixture_t *f = fixture_of_port(port, &index);
	fixture_packet_t *packet = add_packet(f, msg);

	packet->kind = FIXTURE_TO_UPSTREAM;
	packet->instance = index;
	packet->upstream = upstream->id;
	packet->path = path;
}

static void close_path(carob_entry_port_t *port, carob_upstream_id_t upstream,
		       uint32_t path)
{
	size_t index;

	(void)upstream;
	(void)path;
	fixture_of_port(port, &index)->closed_paths++;
}

static void to_instance(carob_entry_port_t *port, const carob_relay_t *relay)
{
	size_t index;
	fixture_t *f = fixture_of_port(port, &index);
	fixture_packet_t *packet = add_packet(f, &relay->msg);

	packet->kind = FIXTURE_RELAY;
	packet->instance = index;
	packet->relay = *relay;
	packet->to = relay->to.id - 1;
}

static const carob_entry_port_ops_t port_ops = {
	.to_caller = to_caller,
	.to_upstream = to_upstream,
	.close_path = close_path,
	.to_instance = to_instance,
};

/* Creation and release */

static carob_member_t member_of(const fixture_t *f, size_t index)
{
	carob_member_t member = {
		.id = f->instances[index].id,
		.state = CAROB_MEMBER_ALIVE,
		.revision = 1,
	};

	strcpy(member.zone.name, "macon-a");
	return member;
}

static void make_scheduler(fixture_t *f, fixture_instance_t *instance,
			   carob_entry_mutation_t mutation)
{
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	options.kernel = instance->kernel;
	options.membership = instance->membership;
	options.seed = instance->id.id;
	/*
	 * The entry and the scheduler both check the deadline. The mutation
	 * has an effect only if neither does.
	 */
	if (mutation == CAROB_ENTRY_MUTATION_RUN_EXPIRED)
		options.mutation = CAROB_SCHEDULER_MUTATION_KEEP_EXPIRED;
	CU_ASSERT_EQUAL_FATAL(
		carob_scheduler_new(&instance->scheduler, &options), 0);
	CU_ASSERT_EQUAL_FATAL(carob_scheduler_set_manifest(instance->scheduler,
							   f->manifest),
			      0);
}

static void make_entry(fixture_t *f, size_t index,
		       carob_entry_mutation_t mutation)
{
	fixture_instance_t *instance = &f->instances[index];
	carob_entry_options_t options = CAROB_ENTRY_OPTIONS_INIT;

	instance->port.port.ops = &port_ops;
	instance->port.fixture = f;
	instance->port.index = index;
	options.kernel = instance->kernel;
	options.port = &instance->port.port;
	options.scheduler = instance->scheduler;
	options.membership = instance->membership;
	options.keyring = f->keyring;
	options.seed = 100 + index;
	options.record_bytes_max = FIXTURE_RECORD_BYTES;
	options.mutation = mutation;
	CU_ASSERT_EQUAL_FATAL(carob_entry_new(&instance->entry, &options), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_entry_set_manifest(instance->entry, f->manifest), 0);
}

static void make_instance(fixture_t *f, size_t index,
			  carob_entry_mutation_t mutation)
{
	fixture_instance_t *instance = &f->instances[index];
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;

	options.self = member_of(f, index);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&instance->kernel, &f->clock.clock), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_membership_new(&instance->membership, &options), 0);
	for (size_t i = 0; i < f->instance_count; i++) {
		carob_member_t member = member_of(f, i);

		if (i != index)
			carob_membership_learn(instance->membership, &member,
					       NULL);
	}
	make_scheduler(f, instance, mutation);
	make_entry(f, index, mutation);
}

carob_manifest_t *fixture_manifest(void)
{
	carob_manifest_t *manifest;

	CU_ASSERT_EQUAL_FATAL(carob_manifest_parse(&manifest, "test",
						   CAROB_STR(manifest_json)),
			      0);
	return manifest;
}

fixture_t *fixture_new_with(carob_manifest_t *manifest, size_t instances,
			    carob_entry_mutation_t mutation)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {1};
	fixture_t *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	carob_manual_clock_init(&f->clock, 1000 * CAROB_NS_PER_S);
	carob_keyring_new(&f->keyring);
	carob_keyring_add(f->keyring, 0, key);
	carob_keyring_activate(f->keyring, 0);
	f->manifest = carob_manifest_ref(manifest);
	f->instance_count = instances;
	for (size_t i = 0; i < instances; i++)
		f->instances[i].id = (carob_instance_id_t){(uint32_t)i + 1, 7};
	for (size_t i = 0; i < instances; i++)
		make_instance(f, i, mutation);
	return f;
}

fixture_t *fixture_new(size_t instances, carob_entry_mutation_t mutation)
{
	carob_manifest_t *manifest = fixture_manifest();
	fixture_t *f = fixture_new_with(manifest, instances, mutation);

	carob_manifest_free(manifest);
	return f;
}

void fixture_move_upstream(fixture_t *f, size_t instance)
{
	fixture_instance_t *target = &f->instances[instance];
	carob_manifest_t *manifest;

	CU_ASSERT_EQUAL_FATAL(
		carob_manifest_parse(&manifest, "test",
				     CAROB_STR(reused_upstream_json)),
		0);
	CU_ASSERT_EQUAL(
		carob_scheduler_set_manifest(target->scheduler, manifest), 0);
	CU_ASSERT_EQUAL(carob_entry_set_manifest(target->entry, manifest), 0);
	carob_manifest_free(manifest);
}

static void free_instance(fixture_instance_t *instance)
{
	carob_entry_free(instance->entry);
	carob_scheduler_free(instance->scheduler);
	carob_membership_free(instance->membership);
	carob_kernel_free(instance->kernel);
}

void fixture_free(fixture_t *f)
{
	for (size_t i = 0; i < f->instance_count; i++)
		free_instance(&f->instances[i]);
	while (f->packet_count)
		free(f->packets[--f->packet_count].msg);
	for (size_t i = 0; i < f->request_count; i++) {
		free(f->requests[i].msg);
		free(f->requests[i].response);
	}
	while (f->received_count)
		free(f->received[--f->received_count]);
	free(f->packets);
	free(f->requests);
	free(f->received);
	carob_manifest_free(f->manifest);
	carob_keyring_free(f->keyring);
	free(f);
}

/* Upstreams */

static void send_from_upstream(fixture_t *f, const fixture_request_t *request,
			       const carob_msg_t *msg)
{
	fixture_packet_t *packet = add_packet(f, msg);

	packet->kind = FIXTURE_FROM_UPSTREAM;
	packet->instance = request->instance;
	packet->upstream = request->upstream;
	packet->path = request->path;
}

static void send_response(fixture_t *f, fixture_request_t *request,
			  uint8_t code)
{
	carob_msg_t request_msg = unpack(request->msg);
	carob_msg_t msg = {
		.type = CAROB_MSG_ACK,
		.code = code,
		.mid = request_msg.mid,
		.token_len = request_msg.token_len,
		.payload = request_msg.payload,
	};

	memcpy(msg.token, request_msg.token, sizeof(msg.token));
	if (code == CAROB_CODE_SERVICE_UNAVAILABLE) {
		msg.has_max_age = true;
		msg.max_age_s = 3;
	}
	if (carob_msg_is_registration(&request_msg) &&
	    code == CAROB_CODE_CONTENT) {
		msg.has_observe = true;
		msg.observe = ++f->observe;
		msg.has_max_age = true;
		msg.max_age_s = 5;
	}
	free(request->response);
	request->response = carob_msg_pack(&msg);
	request->done = true;
	send_from_upstream(f, request, &msg);
}

void fixture_respond(fixture_t *f, size_t request, uint8_t code)
{
	send_response(f, &f->requests[request], code);
}

static void send_empty(fixture_t *f, const fixture_request_t *request,
		       carob_msg_type_t type, uint16_t mid)
{
	carob_msg_t msg = {.type = type, .mid = mid};

	send_from_upstream(f, request, &msg);
}

void fixture_notify(fixture_t *f, size_t request, const char *payload)
{
	carob_msg_t request_msg = unpack(f->requests[request].msg);
	carob_msg_t msg = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_CONTENT,
		.mid = (uint16_t)(10000 + f->observe),
		.token_len = request_msg.token_len,
		.has_observe = true,
		.observe = ++f->observe,
		.has_max_age = true,
		.max_age_s = 5,
		.payload = carob_str_from(payload),
	};

	memcpy(msg.token, request_msg.token, sizeof(msg.token));
	send_from_upstream(f, &f->requests[request], &msg);
}

static fixture_request_t *find_request(fixture_t *f,
				       const fixture_packet_t *packet,
				       const carob_msg_t *msg, bool by_token)
{
	for (size_t i = f->request_count; i > 0; i--) {
		fixture_request_t *r = &f->requests[i - 1];
		carob_msg_t existing = unpack(r->msg);

		if (r->instance != packet->instance || r->path != packet->path)
			continue;
		if (by_token ? memcmp(existing.token, msg->token, 8) == 0
			     : existing.mid == msg->mid)
			return r;
	}
	return NULL;
}

static void handle_request(fixture_t *f, fixture_request_t *request,
			   fixture_mode_t mode)
{
	carob_msg_t msg = unpack(request->msg);

	if (mode == FIXTURE_SHED) {
		send_response(f, request, CAROB_CODE_SERVICE_UNAVAILABLE);
		return;
	}
	request->ran = true;
	if (mode == FIXTURE_HOLD && !carob_msg_is_registration(&msg))
		send_empty(f, request, CAROB_MSG_ACK, msg.mid);
	else
		send_response(f, request, CAROB_CODE_CONTENT);
}

static fixture_request_t *add_request(fixture_t *f, fixture_packet_t *packet)
{
	fixture_request_t *request;

	f->requests = grow_array(f->requests, &f->request_cap, f->request_count,
				 sizeof(*f->requests));
	request = &f->requests[f->request_count++];
	memset(request, 0, sizeof(*request));
	request->upstream = packet->upstream;
	request->service_id = packet->upstream.id / 100;
	request->instance = packet->instance;
	request->path = packet->path;
	request->msg = packet->msg;
	packet->msg = NULL;
	return request;
}

static void confirm_cancel(fixture_t *f, const fixture_packet_t *packet,
			   const carob_msg_t *msg)
{
	fixture_request_t *existing = find_request(f, packet, msg, true);
	fixture_request_t origin = {
		.upstream = packet->upstream,
		.instance = packet->instance,
		.path = packet->path,
	};
	carob_msg_t out = {
		.type = CAROB_MSG_ACK,
		.code = CAROB_CODE_DELETED,
		.mid = msg->mid,
		.token_len = msg->token_len,
	};

	memcpy(out.token, msg->token, sizeof(out.token));
	if (existing && !existing->done)
		existing->cancelled = true;
	send_from_upstream(f, &origin, &out);
}

static void deliver_to_upstream(fixture_t *f, fixture_packet_t *packet)
{
	fixture_mode_t mode = f->mode[packet->upstream.id % 100];
	carob_msg_t msg = unpack(packet->msg);
	fixture_request_t *existing = find_request(f, packet, &msg, false);
	fixture_request_t origin = {
		.upstream = packet->upstream,
		.instance = packet->instance,
		.path = packet->path,
	};

	if (mode == FIXTURE_SILENT || packet->path == f->cut_path)
		return;
	if (msg.type == CAROB_MSG_CON && msg.code == CAROB_CODE_EMPTY)
		send_empty(f, &origin, CAROB_MSG_RST, msg.mid);
	else if (carob_msg_is_cancel(&msg))
		confirm_cancel(f, packet, &msg);
	else if (existing && existing->done)
		send_from_upstream(
			f, existing,
			&(carob_msg_t[]){unpack(existing->response)}[0]);
	else if (existing)
		send_empty(f, existing, CAROB_MSG_ACK, msg.mid);
	else if (carob_msg_is_request(&msg))
		handle_request(f, add_request(f, packet), mode);
}

size_t fixture_count_runs(const fixture_t *f, const char *payload)
{
	size_t runs = 0;

	for (size_t i = 0; i < f->request_count; i++) {
		carob_msg_t msg = unpack(f->requests[i].msg);

		if (f->requests[i].ran &&
		    carob_str_eq(msg.payload, carob_str_from(payload)))
			runs++;
	}
	return runs;
}

/* Network */

void fixture_send(fixture_t *f, size_t instance, const carob_msg_t *msg)
{
	fixture_packet_t *packet = add_packet(f, msg);

	packet->kind = FIXTURE_TO_INSTANCE;
	packet->instance = instance;
	packet->service_id = FIXTURE_SERVICE;
	packet->caller = caller_addr;
}

static void deliver_to_caller(fixture_t *f, fixture_packet_t *packet)
{
	f->received = grow_array(f->received, &f->received_cap,
				 f->received_count, sizeof(*f->received));
	f->received[f->received_count++] = packet->msg;
	packet->msg = NULL;
}

static void deliver_to_instance(fixture_instance_t *instance,
				fixture_packet_t *packet)
{
	carob_msg_t msg = unpack(packet->msg);

	if (instance->dead)
		return;
	if (packet->kind == FIXTURE_TO_INSTANCE) {
		carob_entry_on_caller(instance->entry, packet->service_id,
				      &packet->caller, &msg);
	} else if (packet->kind == FIXTURE_FROM_UPSTREAM) {
		carob_entry_on_upstream(instance->entry, packet->upstream,
					packet->path, &msg);
	} else {
		packet->relay.msg = msg;
		carob_entry_on_relay(instance->entry, &packet->relay);
	}
}

static fixture_packet_t remove_packet(fixture_t *f, size_t index)
{
	fixture_packet_t packet = f->packets[index];

	memmove(&f->packets[index], &f->packets[index + 1],
		(f->packet_count - index - 1) * sizeof(packet));
	f->packet_count--;
	return packet;
}

void fixture_deliver(fixture_t *f, size_t index)
{
	fixture_packet_t packet = remove_packet(f, index);

	switch (packet.kind) {
	case FIXTURE_TO_CALLER:
		deliver_to_caller(f, &packet);
		break;
	case FIXTURE_TO_UPSTREAM:
		deliver_to_upstream(f, &packet);
		break;
	case FIXTURE_FROM_UPSTREAM:
		if (packet.path != f->cut_path)
			deliver_to_instance(&f->instances[packet.instance],
					    &packet);
		break;
	case FIXTURE_TO_INSTANCE:
		deliver_to_instance(&f->instances[packet.instance], &packet);
		break;
	case FIXTURE_RELAY:
		deliver_to_instance(&f->instances[packet.to], &packet);
		break;
	}
	free(packet.msg);
}

void fixture_drop(fixture_t *f, size_t index)
{
	free(remove_packet(f, index).msg);
}

void fixture_duplicate(fixture_t *f, size_t index)
{
	fixture_packet_t copy = f->packets[index];
	carob_msg_t msg = unpack(copy.msg);
	fixture_packet_t *packet = add_packet(f, &msg);

	copy.msg = packet->msg;
	*packet = copy;
}

/* Packets to a paused instance wait until it runs again. */
static bool can_deliver(const fixture_t *f, const fixture_packet_t *packet)
{
	if (packet->kind == FIXTURE_TO_INSTANCE ||
	    packet->kind == FIXTURE_FROM_UPSTREAM)
		return !f->instances[packet->instance].paused;
	return packet->kind != FIXTURE_RELAY ||
	       !f->instances[packet->to].paused;
}

void fixture_deliver_all(fixture_t *f)
{
	size_t i = 0;

	for (int steps = 0; i < f->packet_count && steps < DELIVERIES_MAX;
	     steps++) {
		if (can_deliver(f, &f->packets[i])) {
			fixture_deliver(f, i);
			i = 0;
		} else {
			i++;
		}
	}
}

carob_msg_t fixture_last_response(const fixture_t *f)
{
	carob_msg_t none = {0};

	return f->received_count ? unpack(f->received[f->received_count - 1])
				 : none;
}

carob_msg_t fixture_exchange(fixture_t *f, size_t instance,
			     const carob_msg_t *msg)
{
	carob_msg_t none = {0};
	size_t before = f->received_count;

	fixture_send(f, instance, msg);
	fixture_deliver_all(f);
	return f->received_count > before ? fixture_last_response(f) : none;
}

void fixture_advance_clock(fixture_t *f, uint64_t ms)
{
	carob_manual_clock_advance(&f->clock, ms * CAROB_NS_PER_MS);
}

void fixture_run_for(fixture_t *f, uint64_t ms)
{
	fixture_deliver_all(f);
	for (uint64_t passed = 0; passed < ms; passed += STEP_MS) {
		fixture_advance_clock(f, STEP_MS);
		for (size_t i = 0; i < f->instance_count; i++)
			if (!f->instances[i].dead && !f->instances[i].paused)
				carob_kernel_run_due(f->instances[i].kernel);
		fixture_deliver_all(f);
	}
}

void fixture_set_member_state(fixture_t *f, size_t instance,
			      carob_member_state_t state, size_t successor)
{
	carob_member_t member = member_of(f, instance);

	member.state = state;
	member.revision = 2;
	member.successor = f->instances[successor].id;
	for (size_t i = 0; i < f->instance_count; i++) {
		carob_membership_t *m = f->instances[i].membership;

		if (i == instance)
			carob_membership_set_self(m, state, member.successor);
		else
			carob_membership_learn(m, &member, NULL);
	}
}

void fixture_kill(fixture_t *f, size_t instance, bool existing)
{
	carob_member_t member = member_of(f, instance);

	f->instances[instance].dead = true;
	member.state = CAROB_MEMBER_DEAD;
	member.revision = 3;
	for (size_t i = 0; existing && i < f->instance_count; i++)
		if (i != instance)
			carob_membership_learn(f->instances[i].membership,
					       &member, NULL);
}

/* Callers */

carob_msg_t fixture_new_request(uint8_t code, uint16_t mid, const char *payload)
{
	carob_msg_t msg = {
		.type = CAROB_MSG_CON,
		.code = code,
		.mid = mid,
		.token_len = 2,
		.token = {0xaa, (uint8_t)mid},
		.has_deadline = true,
		.deadline_ms = 20000,
		.other_count = 1,
	};

	msg.other[0] = (carob_msg_option_t){11, CAROB_STR("assessments")};
	msg.payload = carob_str_from(payload);
	return msg;
}

void fixture_copy_echo(carob_msg_t *request, const carob_msg_t *response)
{
	request->echo_len = response->echo_len;
	memcpy(request->echo, response->echo, sizeof(request->echo));
}

carob_msg_t fixture_request_challenge(fixture_t *f, size_t instance)
{
	carob_msg_t msg =
		fixture_new_request(CAROB_CODE_GET, 1, "challenge me");

	return fixture_exchange(f, instance, &msg);
}

size_t fixture_token_owner(const fixture_t *f, const carob_msg_t *msg)
{
	carob_token_t token = {0};

	carob_token_open(&token, f->keyring, msg->echo, msg->echo_len);
	return token.owner.id - 1;
}

void fixture_set_token(fixture_t *f, carob_msg_t *request, size_t instance,
		       uint32_t service_id, uint64_t flow, uint8_t flags,
		       uint32_t upstream)
{
	carob_token_t token = {
		.service_id = service_id,
		.upstream = {upstream, 1},
		.owner = f->instances[instance].id,
		.flow = flow,
		.flags = flags,
	};

	request->echo_len = CAROB_TOKEN_SEALED_BYTES;
	CU_ASSERT_EQUAL(carob_token_seal(request->echo, f->keyring, &token), 0);
}

carob_entry_counters_t fixture_counters(const fixture_t *f, size_t instance)
{
	carob_entry_counters_t counters;

	carob_entry_counters(&counters, f->instances[instance].entry);
	return counters;
}
