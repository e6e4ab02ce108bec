#include "core/entry_world.h"

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

static world_packet_t *add_packet(world_t *w, const carob_msg_t *msg)
{
	world_packet_t *packet;

	w->packets = grow_array(w->packets, &w->packet_cap, w->packet_count,
				sizeof(*w->packets));
	packet = &w->packets[w->packet_count++];
	memset(packet, 0, sizeof(*packet));
	packet->msg = carob_msg_pack(msg);
	return packet;
}

/* Port of an instance */

static world_t *world_of(carob_entry_port_t *port, size_t *index)
{
	struct world_port *p = (struct world_port *)port;

	*index = p->index;
	return p->world;
}

static void to_caller(carob_entry_port_t *port, uint32_t service_id,
		      const carob_addr_t *caller, const carob_msg_t *msg)
{
	size_t index;
	world_t *w = world_of(port, &index);
	world_packet_t *packet = add_packet(w, msg);

	packet->kind = WORLD_TO_CALLER;
	packet->instance = index;
	packet->service_id = service_id;
	packet->caller = *caller;
}

static void to_upstream(carob_entry_port_t *port,
			const carob_manifest_upstream_t *upstream,
			uint32_t path, const carob_msg_t *msg)
{
	size_t index;
	world_t *w = world_of(port, &index);
	world_packet_t *packet = add_packet(w, msg);

	packet->kind = WORLD_TO_UPSTREAM;
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
	world_of(port, &index)->closed_paths++;
}

static void to_instance(carob_entry_port_t *port, const carob_relay_t *relay)
{
	size_t index;
	world_t *w = world_of(port, &index);
	world_packet_t *packet = add_packet(w, &relay->msg);

	packet->kind = WORLD_RELAY;
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

static carob_member_t member_of(const world_t *w, size_t index)
{
	carob_member_t member = {
		.id = w->instances[index].id,
		.state = CAROB_MEMBER_ALIVE,
		.revision = 1,
	};

	strcpy(member.zone.name, "macon-a");
	return member;
}

static void make_scheduler(world_t *w, world_instance_t *instance,
			   carob_entry_mutation_t fault)
{
	carob_scheduler_options_t options = CAROB_SCHEDULER_OPTIONS_INIT;

	options.kernel = instance->kernel;
	options.membership = instance->membership;
	options.seed = instance->id.id;
	/*
	 * The entry and the scheduler both check the deadline. The mutation
	 * has an effect only if neither does.
	 */
	if (fault == CAROB_ENTRY_MUTATION_RUN_EXPIRED)
		options.fault = CAROB_SCHEDULER_FAULT_KEEP_EXPIRED;
	CU_ASSERT_EQUAL_FATAL(
		carob_scheduler_new(&instance->scheduler, &options), 0);
	CU_ASSERT_EQUAL_FATAL(carob_scheduler_set_manifest(instance->scheduler,
							   w->manifest),
			      0);
}

static void make_entry(world_t *w, size_t index, carob_entry_mutation_t fault)
{
	world_instance_t *instance = &w->instances[index];
	carob_entry_options_t options = CAROB_ENTRY_OPTIONS_INIT;

	instance->port.port.ops = &port_ops;
	instance->port.world = w;
	instance->port.index = index;
	options.kernel = instance->kernel;
	options.port = &instance->port.port;
	options.scheduler = instance->scheduler;
	options.membership = instance->membership;
	options.keyring = w->keyring;
	options.seed = 100 + index;
	options.record_bytes_max = WORLD_MEMORY_BYTES;
	options.mutation = fault;
	CU_ASSERT_EQUAL_FATAL(carob_entry_new(&instance->entry, &options), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_entry_set_manifest(instance->entry, w->manifest), 0);
}

static void make_instance(world_t *w, size_t index,
			  carob_entry_mutation_t fault)
{
	world_instance_t *instance = &w->instances[index];
	carob_membership_options_t options = CAROB_MEMBERSHIP_OPTIONS_INIT;

	options.self = member_of(w, index);
	CU_ASSERT_EQUAL_FATAL(
		carob_kernel_new(&instance->kernel, &w->clock.clock), 0);
	CU_ASSERT_EQUAL_FATAL(
		carob_membership_new(&instance->membership, &options), 0);
	for (size_t i = 0; i < w->instance_count; i++) {
		carob_member_t member = member_of(w, i);

		if (i != index)
			carob_membership_learn(instance->membership, &member,
					       NULL);
	}
	make_scheduler(w, instance, fault);
	make_entry(w, index, fault);
}

carob_manifest_t *world_manifest(void)
{
	carob_manifest_t *manifest;

	CU_ASSERT_EQUAL_FATAL(carob_manifest_parse(&manifest, "test",
						   CAROB_STR(manifest_json)),
			      0);
	return manifest;
}

world_t *world_new_with(carob_manifest_t *manifest, size_t instances,
			carob_entry_mutation_t fault)
{
	static const uint8_t key[CAROB_KEY_BYTES] = {1};
	world_t *w = calloc(1, sizeof(*w));

	if (!w)
		abort();
	carob_manual_clock_init(&w->clock, 1000 * CAROB_NS_PER_S);
	carob_keyring_new(&w->keyring);
	carob_keyring_add(w->keyring, 0, key);
	carob_keyring_activate(w->keyring, 0);
	w->manifest = carob_manifest_ref(manifest);
	w->instance_count = instances;
	for (size_t i = 0; i < instances; i++)
		w->instances[i].id = (carob_instance_id_t){(uint32_t)i + 1, 7};
	for (size_t i = 0; i < instances; i++)
		make_instance(w, i, fault);
	return w;
}

world_t *world_new(size_t instances, carob_entry_mutation_t fault)
{
	carob_manifest_t *manifest = world_manifest();
	world_t *w = world_new_with(manifest, instances, fault);

	carob_manifest_free(manifest);
	return w;
}

void world_reuse_upstream(world_t *w, size_t instance)
{
	world_instance_t *at = &w->instances[instance];
	carob_manifest_t *manifest;

	CU_ASSERT_EQUAL_FATAL(
		carob_manifest_parse(&manifest, "test",
				     CAROB_STR(reused_upstream_json)),
		0);
	CU_ASSERT_EQUAL(carob_scheduler_set_manifest(at->scheduler, manifest),
			0);
	CU_ASSERT_EQUAL(carob_entry_set_manifest(at->entry, manifest), 0);
	carob_manifest_free(manifest);
}

static void free_instance(world_instance_t *instance)
{
	carob_entry_free(instance->entry);
	carob_scheduler_free(instance->scheduler);
	carob_membership_free(instance->membership);
	carob_kernel_free(instance->kernel);
}

void world_free(world_t *w)
{
	for (size_t i = 0; i < w->instance_count; i++)
		free_instance(&w->instances[i]);
	while (w->packet_count)
		free(w->packets[--w->packet_count].msg);
	for (size_t i = 0; i < w->request_count; i++) {
		free(w->requests[i].msg);
		free(w->requests[i].answer);
	}
	while (w->answer_count)
		free(w->answers[--w->answer_count]);
	free(w->packets);
	free(w->requests);
	free(w->answers);
	carob_manifest_free(w->manifest);
	carob_keyring_free(w->keyring);
	free(w);
}

/* Upstreams */

static void send_back(world_t *w, const world_request_t *request,
		      const carob_msg_t *msg)
{
	world_packet_t *packet = add_packet(w, msg);

	packet->kind = WORLD_FROM_UPSTREAM;
	packet->instance = request->instance;
	packet->upstream = request->upstream;
	packet->path = request->path;
}

static void send_answer(world_t *w, world_request_t *request, uint8_t code)
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
		msg.observe = ++w->observe;
		msg.has_max_age = true;
		msg.max_age_s = 5;
	}
	free(request->answer);
	request->answer = carob_msg_pack(&msg);
	request->done = true;
	send_back(w, request, &msg);
}

void world_answer(world_t *w, size_t request, uint8_t code)
{
	send_answer(w, &w->requests[request], code);
}

static void send_empty(world_t *w, const world_request_t *request,
		       carob_msg_type_t type, uint16_t mid)
{
	carob_msg_t msg = {.type = type, .mid = mid};

	send_back(w, request, &msg);
}

void world_notify(world_t *w, size_t request, const char *payload)
{
	carob_msg_t request_msg = unpack(w->requests[request].msg);
	carob_msg_t msg = {
		.type = CAROB_MSG_NON,
		.code = CAROB_CODE_CONTENT,
		.mid = (uint16_t)(10000 + w->observe),
		.token_len = request_msg.token_len,
		.has_observe = true,
		.observe = ++w->observe,
		.has_max_age = true,
		.max_age_s = 5,
		.payload = carob_str_from(payload),
	};

	memcpy(msg.token, request_msg.token, sizeof(msg.token));
	send_back(w, &w->requests[request], &msg);
}

static world_request_t *find_request(world_t *w, const world_packet_t *packet,
				     const carob_msg_t *msg, bool by_token)
{
	for (size_t i = w->request_count; i > 0; i--) {
		world_request_t *r = &w->requests[i - 1];
		carob_msg_t known = unpack(r->msg);

		if (r->instance != packet->instance || r->path != packet->path)
			continue;
		if (by_token ? memcmp(known.token, msg->token, 8) == 0
			     : known.mid == msg->mid)
			return r;
	}
	return NULL;
}

static void handle_request(world_t *w, world_request_t *request,
			   world_mode_t mode)
{
	carob_msg_t msg = unpack(request->msg);

	if (mode == WORLD_SHED) {
		send_answer(w, request, CAROB_CODE_SERVICE_UNAVAILABLE);
		return;
	}
	request->ran = true;
	if (mode == WORLD_HOLD && !carob_msg_is_registration(&msg))
		send_empty(w, request, CAROB_MSG_ACK, msg.mid);
	else
		send_answer(w, request, CAROB_CODE_CONTENT);
}

static world_request_t *add_request(world_t *w, world_packet_t *packet)
{
	world_request_t *request;

	w->requests = grow_array(w->requests, &w->request_cap, w->request_count,
				 sizeof(*w->requests));
	request = &w->requests[w->request_count++];
	memset(request, 0, sizeof(*request));
	request->upstream = packet->upstream;
	request->service_id = packet->upstream.id / 100;
	request->instance = packet->instance;
	request->path = packet->path;
	request->msg = packet->msg;
	packet->msg = NULL;
	return request;
}

static void confirm_cancel(world_t *w, const world_packet_t *packet,
			   const carob_msg_t *msg)
{
	world_request_t *known = find_request(w, packet, msg, true);
	world_request_t origin = {
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
	if (known && !known->done)
		known->cancelled = true;
	send_back(w, &origin, &out);
}

static void deliver_to_upstream(world_t *w, world_packet_t *packet)
{
	world_mode_t mode = w->mode[packet->upstream.id % 100];
	carob_msg_t msg = unpack(packet->msg);
	world_request_t *known = find_request(w, packet, &msg, false);
	world_request_t origin = {
		.upstream = packet->upstream,
		.instance = packet->instance,
		.path = packet->path,
	};

	if (mode == WORLD_SILENT || packet->path == w->cut_path)
		return;
	if (msg.type == CAROB_MSG_CON && msg.code == CAROB_CODE_EMPTY)
		send_empty(w, &origin, CAROB_MSG_RST, msg.mid);
	else if (carob_msg_is_cancel(&msg))
		confirm_cancel(w, packet, &msg);
	else if (known && known->done)
		send_back(w, known, &(carob_msg_t[]){unpack(known->answer)}[0]);
	else if (known)
		send_empty(w, known, CAROB_MSG_ACK, msg.mid);
	else if (carob_msg_is_request(&msg))
		handle_request(w, add_request(w, packet), mode);
}

size_t world_runs(const world_t *w, const char *payload)
{
	size_t runs = 0;

	for (size_t i = 0; i < w->request_count; i++) {
		carob_msg_t msg = unpack(w->requests[i].msg);

		if (w->requests[i].ran &&
		    carob_str_eq(msg.payload, carob_str_from(payload)))
			runs++;
	}
	return runs;
}

/* Network */

void world_send(world_t *w, size_t instance, const carob_msg_t *msg)
{
	world_packet_t *packet = add_packet(w, msg);

	packet->kind = WORLD_TO_INSTANCE;
	packet->instance = instance;
	packet->service_id = WORLD_SERVICE;
	packet->caller = caller_addr;
}

static void deliver_to_caller(world_t *w, world_packet_t *packet)
{
	w->answers = grow_array(w->answers, &w->answer_cap, w->answer_count,
				sizeof(*w->answers));
	w->answers[w->answer_count++] = packet->msg;
	packet->msg = NULL;
}

static void deliver_to_instance(world_instance_t *instance,
				world_packet_t *packet)
{
	carob_msg_t msg = unpack(packet->msg);

	if (instance->dead)
		return;
	if (packet->kind == WORLD_TO_INSTANCE) {
		carob_entry_on_caller(instance->entry, packet->service_id,
				      &packet->caller, &msg);
	} else if (packet->kind == WORLD_FROM_UPSTREAM) {
		carob_entry_on_upstream(instance->entry, packet->upstream,
					packet->path, &msg);
	} else {
		packet->relay.msg = msg;
		carob_entry_on_relay(instance->entry, &packet->relay);
	}
}

static world_packet_t take_packet(world_t *w, size_t index)
{
	world_packet_t packet = w->packets[index];

	memmove(&w->packets[index], &w->packets[index + 1],
		(w->packet_count - index - 1) * sizeof(packet));
	w->packet_count--;
	return packet;
}

void world_deliver(world_t *w, size_t index)
{
	world_packet_t packet = take_packet(w, index);

	switch (packet.kind) {
	case WORLD_TO_CALLER:
		deliver_to_caller(w, &packet);
		break;
	case WORLD_TO_UPSTREAM:
		deliver_to_upstream(w, &packet);
		break;
	case WORLD_FROM_UPSTREAM:
		if (packet.path != w->cut_path)
			deliver_to_instance(&w->instances[packet.instance],
					    &packet);
		break;
	case WORLD_TO_INSTANCE:
		deliver_to_instance(&w->instances[packet.instance], &packet);
		break;
	case WORLD_RELAY:
		deliver_to_instance(&w->instances[packet.to], &packet);
		break;
	}
	free(packet.msg);
}

void world_drop(world_t *w, size_t index)
{
	free(take_packet(w, index).msg);
}

void world_double(world_t *w, size_t index)
{
	world_packet_t copy = w->packets[index];
	carob_msg_t msg = unpack(copy.msg);
	world_packet_t *packet = add_packet(w, &msg);

	copy.msg = packet->msg;
	*packet = copy;
}

/* Packets to a frozen instance wait until it runs again. */
static bool can_deliver(const world_t *w, const world_packet_t *packet)
{
	if (packet->kind == WORLD_TO_INSTANCE ||
	    packet->kind == WORLD_FROM_UPSTREAM)
		return !w->instances[packet->instance].frozen;
	return packet->kind != WORLD_RELAY || !w->instances[packet->to].frozen;
}

void world_run(world_t *w)
{
	size_t i = 0;

	for (int steps = 0; i < w->packet_count && steps < DELIVERIES_MAX;
	     steps++) {
		if (can_deliver(w, &w->packets[i])) {
			world_deliver(w, i);
			i = 0;
		} else {
			i++;
		}
	}
}

carob_msg_t world_last(const world_t *w)
{
	carob_msg_t none = {0};

	return w->answer_count ? unpack(w->answers[w->answer_count - 1]) : none;
}

carob_msg_t world_ask(world_t *w, size_t instance, const carob_msg_t *msg)
{
	carob_msg_t none = {0};
	size_t before = w->answer_count;

	world_send(w, instance, msg);
	world_run(w);
	return w->answer_count > before ? world_last(w) : none;
}

void world_skip(world_t *w, uint64_t ms)
{
	carob_manual_clock_advance(&w->clock, ms * CAROB_NS_PER_MS);
}

void world_pass(world_t *w, uint64_t ms)
{
	world_run(w);
	for (uint64_t passed = 0; passed < ms; passed += STEP_MS) {
		world_skip(w, STEP_MS);
		for (size_t i = 0; i < w->instance_count; i++)
			if (!w->instances[i].dead && !w->instances[i].frozen)
				carob_kernel_run_due(w->instances[i].kernel);
		world_run(w);
	}
}

void world_tell(world_t *w, size_t instance, carob_member_state_t state,
		size_t successor)
{
	carob_member_t member = member_of(w, instance);

	member.state = state;
	member.revision = 2;
	member.successor = w->instances[successor].id;
	for (size_t i = 0; i < w->instance_count; i++) {
		carob_membership_t *m = w->instances[i].membership;

		if (i == instance)
			carob_membership_set_self(m, state, member.successor);
		else
			carob_membership_learn(m, &member, NULL);
	}
}

void world_kill(world_t *w, size_t instance, bool known)
{
	carob_member_t member = member_of(w, instance);

	w->instances[instance].dead = true;
	member.state = CAROB_MEMBER_DEAD;
	member.revision = 3;
	for (size_t i = 0; known && i < w->instance_count; i++)
		if (i != instance)
			carob_membership_learn(w->instances[i].membership,
					       &member, NULL);
}

/* Callers */

carob_msg_t world_request(uint8_t code, uint16_t mid, const char *payload)
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

void world_use_echo(carob_msg_t *request, const carob_msg_t *answer)
{
	request->echo_len = answer->echo_len;
	memcpy(request->echo, answer->echo, sizeof(request->echo));
}

carob_msg_t world_challenge(world_t *w, size_t instance)
{
	carob_msg_t msg = world_request(CAROB_CODE_GET, 1, "challenge me");

	return world_ask(w, instance, &msg);
}

size_t world_owner(const world_t *w, const carob_msg_t *msg)
{
	carob_token_t token = {0};

	carob_token_open(&token, w->keyring, msg->echo, msg->echo_len);
	return token.owner.id - 1;
}

void world_seal(world_t *w, carob_msg_t *request, size_t instance,
		uint32_t service_id, uint64_t flow, uint8_t flags,
		uint32_t upstream)
{
	carob_token_t token = {
		.service_id = service_id,
		.upstream = {upstream, 1},
		.owner = w->instances[instance].id,
		.flow = flow,
		.flags = flags,
	};

	request->echo_len = CAROB_TOKEN_SEALED_BYTES;
	CU_ASSERT_EQUAL(carob_token_seal(request->echo, w->keyring, &token), 0);
}

carob_entry_counters_t world_counters(const world_t *w, size_t instance)
{
	carob_entry_counters_t counters;

	carob_entry_counters(&counters, w->instances[instance].entry);
	return counters;
}
