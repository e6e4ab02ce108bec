#include "net/control_codec.h"

#include "carobtrail/errors.h"
#include "net/cbor_stream.h"

#include <string.h>

#define IPV4_BYTES     4
#define IPV6_BYTES     16
#define ADDR_BYTES_MAX (IPV6_BYTES + 2) /* address and port */

/* Lengths of the arrays that a message consists of. */
#define HEAD_FIELDS	 5
#define MEMBER_FIELDS	 10
#define ZONE_AGE_FIELDS	 2
#define HEARTBEAT_FIELDS 6
#define MEMBERS_FIELDS	 2
#define PULL_FIELDS	 3
#define CHECK_FIELDS	 4
#define SUMMARY_FIELDS	 9
#define LOAD_FIELDS	 4
#define MANIFEST_FIELDS	 4
#define KEY_FIELDS	 4
#define KEYS_FIELDS	 2
#define RECORDS_FIELDS	 6
#define REPORT_FIELDS	 7
#define STATUS_FIELDS	 4

static void visit_instance(carob_cbor_t *c, carob_instance_id_t *id)
{
	carob_cbor_u32(c, &id->id);
	carob_cbor_u32(c, &id->incarnation);
}

static void visit_upstream(carob_cbor_t *c, carob_upstream_id_t *id)
{
	carob_cbor_u32(c, &id->id);
	carob_cbor_u16(c, &id->incarnation);
}

static void write_addr(carob_cbor_t *c, const carob_addr_t *addr)
{
	size_t len = addr->family == 6 ? IPV6_BYTES : IPV4_BYTES;
	uint8_t bytes[ADDR_BYTES_MAX];
	carob_str_t view = {(const char *)bytes, len + 2};

	memcpy(bytes, addr->ip, len);
	bytes[len] = (uint8_t)(addr->port >> 8);
	bytes[len + 1] = (uint8_t)addr->port;
	if (addr->family == 0)
		view.len = 0;
	carob_cbor_bytes(c, &view, ADDR_BYTES_MAX);
}

static void read_addr(carob_cbor_t *c, carob_addr_t *addr)
{
	carob_str_t view;
	size_t len;

	*addr = (carob_addr_t){.family = 0};
	carob_cbor_bytes(c, &view, ADDR_BYTES_MAX);
	if (view.len == 0)
		return;
	len = view.len - 2;
	if (view.len != IPV4_BYTES + 2 && view.len != IPV6_BYTES + 2) {
		carob_cbor_fail(c, CAROB_EFORMAT);
		return;
	}
	memcpy(addr->ip, view.ptr, len);
	addr->family = len == IPV6_BYTES ? 6 : 4;
	addr->port = (uint16_t)((uint8_t)view.ptr[len] << 8 |
				(uint8_t)view.ptr[len + 1]);
}

/*
 * An address is a byte string: the IP address and the port, both in network
 * byte order, or empty if there is no address.
 */
static void visit_addr(carob_cbor_t *c, carob_addr_t *addr)
{
	if (carob_cbor_reading(c))
		read_addr(c, addr);
	else
		write_addr(c, addr);
}

static void visit_zone(carob_cbor_t *c, carob_zone_t *zone)
{
	carob_cbor_text(c, zone->name, sizeof(zone->name));
}

static void visit_member(carob_cbor_t *c, carob_member_t *m)
{
	carob_cbor_fields(c, MEMBER_FIELDS);
	visit_instance(c, &m->id);
	visit_zone(c, &m->zone);
	visit_addr(c, &m->relay_addr);
	visit_addr(c, &m->control_addr);
	m->state = (carob_member_state_t)carob_cbor_bounded_uint(
		c, m->state, CAROB_MEMBER_DEAD);
	visit_instance(c, &m->successor);
	carob_cbor_u64(c, &m->generation);
	carob_cbor_u32(c, &m->revision);
}

static void visit_members(carob_cbor_t *c, size_t *count,
			  const carob_member_t **members,
			  carob_member_t *scratch)
{
	carob_member_t copy;

	*count = carob_cbor_array(c, *count, CAROB_CONTROL_MEMBERS_MAX);
	for (size_t i = 0; i < *count && !c->error; i++) {
		if (scratch) {
			visit_member(c, &scratch[i]);
			continue;
		}
		copy = (*members)[i];
		visit_member(c, &copy);
	}
	if (scratch)
		*members = scratch;
}

static void visit_zone_ages(carob_cbor_t *c, carob_control_heartbeat_t *body,
			    carob_control_zone_age_t *scratch)
{
	carob_control_zone_age_t copy;

	body->zone_count =
		carob_cbor_array(c, body->zone_count, CAROB_CONTROL_ZONES_MAX);
	for (size_t i = 0; i < body->zone_count && !c->error; i++) {
		carob_control_zone_age_t *age = &scratch[i];

		if (!scratch) {
			copy = body->zones[i];
			age = &copy;
		}
		carob_cbor_fields(c, ZONE_AGE_FIELDS);
		visit_zone(c, &age->zone);
		carob_cbor_u32(c, &age->age_ms);
	}
	if (scratch)
		body->zones = scratch;
}

static void visit_heartbeat(carob_cbor_t *c, carob_control_msg_t *msg,
			    carob_control_scratch_t *scratch)
{
	carob_control_heartbeat_t *body = &msg->heartbeat;

	carob_cbor_fields(c, HEARTBEAT_FIELDS);
	carob_cbor_u32(c, &body->seq);
	carob_cbor_u64(c, &body->generation);
	carob_cbor_u32(c, &body->key_serial);
	carob_cbor_u64(c, &body->digest);
	visit_zone_ages(c, body, scratch ? scratch->zones : NULL);
	visit_members(c, &body->member_count, &body->members,
		      scratch ? scratch->members : NULL);
}

static void visit_member_list(carob_cbor_t *c, carob_control_msg_t *msg,
			      carob_control_scratch_t *scratch)
{
	carob_cbor_fields(c, MEMBERS_FIELDS);
	carob_cbor_u32(c, &msg->members.next);
	visit_members(c, &msg->members.member_count, &msg->members.members,
		      scratch ? scratch->members : NULL);
}

static void visit_pull(carob_cbor_t *c, carob_control_msg_t *msg,
		       carob_control_scratch_t *scratch)
{
	carob_control_pull_t *body = &msg->pull;
	uint32_t digest;

	carob_cbor_fields(c, PULL_FIELDS);
	visit_member(c, &body->self);
	carob_cbor_u32(c, &body->first);
	body->digest_count =
		carob_cbor_array(c, body->digest_count, CAROB_CONTROL_DIGESTS);
	for (size_t i = 0; i < body->digest_count && !c->error; i++) {
		if (!scratch) {
			digest = body->digests[i];
			carob_cbor_u32(c, &digest);
			continue;
		}
		carob_cbor_u32(c, &scratch->digests[i]);
	}
	if (body->digest_count != 0 &&
	    body->digest_count != CAROB_CONTROL_DIGESTS)
		carob_cbor_fail(c, CAROB_EFORMAT);
	if (scratch)
		body->digests = scratch->digests;
}

static void visit_check(carob_cbor_t *c, carob_control_msg_t *msg,
			carob_control_scratch_t *scratch)
{
	(void)scratch;
	carob_cbor_fields(c, CHECK_FIELDS);
	carob_cbor_u32(c, &msg->check.seq);
	visit_instance(c, &msg->check.target);
	carob_cbor_bool(c, &msg->check.reachable);
}

static void visit_upstream_loads(carob_cbor_t *c, carob_load_summary_t *s)
{
	s->upstream_count = (uint16_t)carob_cbor_array(
		c, s->upstream_count, CAROB_LOAD_SUMMARY_UPSTREAMS_MAX);
	for (size_t i = 0; i < s->upstream_count && !c->error; i++) {
		carob_upstream_load_t *load = &s->upstreams[i];

		carob_cbor_fields(c, LOAD_FIELDS);
		visit_upstream(c, &load->upstream);
		carob_cbor_u16(c, &load->in_flight);
		carob_cbor_u16(c, &load->feeds);
	}
}

static void visit_summary(carob_cbor_t *c, carob_load_summary_t *s)
{
	carob_cbor_fields(c, SUMMARY_FIELDS);
	visit_instance(c, &s->instance);
	carob_cbor_u32(c, &s->service_id);
	carob_cbor_u16(c, &s->slots);
	carob_cbor_u16(c, &s->in_flight);
	carob_cbor_u16(c, &s->queued);
	carob_cbor_u32(c, &s->connections);
	carob_cbor_u32(c, &s->feeds);
	visit_upstream_loads(c, s);
}

static void visit_summaries(carob_cbor_t *c, carob_control_msg_t *msg,
			    carob_control_scratch_t *scratch)
{
	carob_control_summaries_t *body = &msg->summaries;
	carob_load_summary_t copy;

	body->count =
		carob_cbor_array(c, body->count, CAROB_CONTROL_SUMMARIES_MAX);
	for (size_t i = 0; i < body->count && !c->error; i++) {
		if (scratch) {
			visit_summary(c, &scratch->summaries[i]);
			continue;
		}
		copy = body->summaries[i];
		visit_summary(c, &copy);
	}
	if (scratch)
		body->summaries = scratch->summaries;
}

static void visit_manifest(carob_cbor_t *c, carob_control_msg_t *msg,
			   carob_control_scratch_t *scratch)
{
	carob_control_manifest_t *body = &msg->manifest;

	(void)scratch;
	carob_cbor_fields(c, MANIFEST_FIELDS);
	carob_cbor_u64(c, &body->generation);
	carob_cbor_u64(c, &body->base);
	carob_cbor_fixed(c, body->publish_id, sizeof(body->publish_id));
	carob_cbor_bytes(c, &body->bytes, CAROB_CONTROL_MANIFEST_MAX);
}

static void visit_key(carob_cbor_t *c, carob_control_key_t *key)
{
	carob_cbor_fields(c, KEY_FIELDS);
	carob_cbor_u32(c, &key->serial);
	carob_cbor_u64(c, &key->created_ms);
	carob_cbor_u64(c, &key->activate_ms);
	carob_cbor_fixed(c, key->key, sizeof(key->key));
}

static void visit_keys(carob_cbor_t *c, carob_control_msg_t *msg,
		       carob_control_scratch_t *scratch)
{
	carob_control_keys_t *body = &msg->keys;
	carob_control_key_t copy;

	carob_cbor_fields(c, KEYS_FIELDS);
	carob_cbor_u32(c, &body->newest);
	body->count = carob_cbor_array(c, body->count, CAROB_CONTROL_KEYS_MAX);
	for (size_t i = 0; i < body->count && !c->error; i++) {
		if (scratch) {
			visit_key(c, &scratch->keys[i]);
			continue;
		}
		copy = body->keys[i];
		visit_key(c, &copy);
	}
	if (scratch)
		body->keys = scratch->keys;
}

static void visit_records(carob_cbor_t *c, carob_control_msg_t *msg,
			  carob_control_scratch_t *scratch)
{
	carob_control_records_t *body = &msg->records;

	(void)scratch;
	carob_cbor_fields(c, RECORDS_FIELDS);
	visit_instance(c, &body->predecessor);
	carob_cbor_u32(c, &body->offset);
	carob_cbor_u32(c, &body->total);
	carob_cbor_bool(c, &body->done);
	carob_cbor_bytes(c, &body->bytes, CAROB_CONTROL_CHUNK_MAX);
}

static void visit_report(carob_cbor_t *c, carob_load_report_t *report)
{
	carob_cbor_fields(c, REPORT_FIELDS);
	visit_upstream(c, &report->upstream);
	carob_cbor_u32(c, &report->service_id);
	carob_cbor_u32(c, &report->in_use);
	carob_cbor_u32(c, &report->feeds);
	carob_cbor_u32(c, &report->age_ms);
	carob_cbor_bool(c, &report->healthy);
}

static void visit_reports(carob_cbor_t *c, carob_control_msg_t *msg,
			  carob_control_scratch_t *scratch)
{
	carob_control_reports_t *body = &msg->reports;
	carob_load_report_t copy;

	body->count =
		carob_cbor_array(c, body->count, CAROB_CONTROL_REPORTS_MAX);
	for (size_t i = 0; i < body->count && !c->error; i++) {
		if (scratch) {
			visit_report(c, &scratch->reports[i]);
			continue;
		}
		copy = body->reports[i];
		visit_report(c, &copy);
	}
	if (scratch)
		body->reports = scratch->reports;
}

static void visit_status(carob_cbor_t *c, carob_control_msg_t *msg,
			 carob_control_scratch_t *scratch)
{
	carob_control_status_t *body = &msg->status;
	uint32_t failure = (uint32_t)-body->result;

	(void)scratch;
	carob_cbor_fields(c, STATUS_FIELDS);
	carob_cbor_u32(c, &body->request);
	carob_cbor_u32(c, &failure);
	carob_cbor_bytes(c, &body->query, CAROB_CONTROL_QUERY_MAX);
	carob_cbor_bytes(c, &body->json, CAROB_CONTROL_STATUS_MAX);
	if (failure > INT16_MAX)
		carob_cbor_fail(c, CAROB_EFORMAT);
	else
		body->result = -(int32_t)failure;
}

typedef void (*visit_body_fn_t)(carob_cbor_t *c, carob_control_msg_t *msg,
				carob_control_scratch_t *scratch);

static const visit_body_fn_t visit_body[] = {
	[CAROB_CONTROL_HEARTBEAT] = visit_heartbeat,
	[CAROB_CONTROL_HEARTBEAT_ACK] = visit_heartbeat,
	[CAROB_CONTROL_MEMBER_UPDATES] = visit_member_list,
	[CAROB_CONTROL_MEMBER_PULL] = visit_pull,
	[CAROB_CONTROL_MEMBER_TABLE] = visit_member_list,
	[CAROB_CONTROL_CHECK_REQUEST] = visit_check,
	[CAROB_CONTROL_CHECK_REPLY] = visit_check,
	[CAROB_CONTROL_LOAD_SUMMARIES] = visit_summaries,
	[CAROB_CONTROL_MANIFEST_AVAILABLE] = visit_manifest,
	[CAROB_CONTROL_MANIFEST_REQUEST] = visit_manifest,
	[CAROB_CONTROL_MANIFEST_REPLY] = visit_manifest,
	[CAROB_CONTROL_KEY_AVAILABLE] = visit_keys,
	[CAROB_CONTROL_KEY_REQUEST] = visit_keys,
	[CAROB_CONTROL_KEY_REPLY] = visit_keys,
	[CAROB_CONTROL_RECORDS_TRANSFER] = visit_records,
	[CAROB_CONTROL_RECORDS_ACK] = visit_records,
	[CAROB_CONTROL_UPSTREAM_REPORTS] = visit_reports,
	[CAROB_CONTROL_STATUS_REQUEST] = visit_status,
	[CAROB_CONTROL_STATUS_REPLY] = visit_status,
};

static void visit_msg(carob_cbor_t *c, carob_control_msg_t *msg,
		      carob_control_scratch_t *scratch)
{
	unsigned int version = CAROB_CONTROL_VERSION;
	unsigned int type = msg->type;

	carob_cbor_fields(c, HEAD_FIELDS);
	version = carob_cbor_bounded_uint(c, version, CAROB_CONTROL_VERSION);
	type = carob_cbor_bounded_uint(c, type,
				       CAROB_ARRAY_SIZE(visit_body) - 1);
	if (version != CAROB_CONTROL_VERSION || !visit_body[type])
		carob_cbor_fail(c, CAROB_EFORMAT);
	msg->type = (carob_control_type_t)type;
	visit_instance(c, &msg->from);
	if (!c->error)
		visit_body[type](c, msg, scratch);
}

int carob_control_encode(carob_buf_t *out, const carob_control_msg_t *msg)
{
	carob_control_msg_t copy = *msg;
	carob_cbor_t c;

	carob_cbor_writer(&c, out);
	visit_msg(&c, &copy, NULL);
	if (c.error)
		return carob_error_set(c.error,
				       "control message of type %d cannot be "
				       "encoded",
				       (int)msg->type);
	return 0;
}

int carob_control_decode(carob_control_msg_t *out,
			 carob_control_scratch_t *scratch, carob_str_t bytes)
{
	carob_cbor_t c;

	if (bytes.len > CAROB_CONTROL_MESSAGE_MAX)
		return carob_error_set(CAROB_ELIMIT,
				       "control message of %zu bytes is too "
				       "long",
				       bytes.len);
	*out = (carob_control_msg_t){.type = 0};
	carob_cbor_reader(&c, bytes);
	visit_msg(&c, out, scratch);
	if (carob_cbor_finish(&c) != 0)
		return carob_error_set(c.error,
				       "control message cannot be decoded");
	return 0;
}
