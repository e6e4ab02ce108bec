#include "net/relay_codec.h"

#include "carobtrail/errors.h"
#include "net/cbor_stream.h"
#include "net/coap_codec.h"

#include <sodium.h>
#include <string.h>

#define TAG_OFFSET    1
#define TAG_BYTES     crypto_shorthash_siphashx24_BYTES
#define HEADER_OFFSET (TAG_OFFSET + TAG_BYTES)
#define SUBKEY_BYTES  crypto_shorthash_siphashx24_KEYBYTES
#define SUBKEY_ID     1
#define IPV4_BYTES    4
#define IPV6_BYTES    16
#define FIELDS	      9

static const char subkey_context[crypto_kdf_CONTEXTBYTES + 1] = "relaytag";

/* The epoch is not hashed, but the tag depends on it through the key that it
 * selects. */
static void compute_tag(uint8_t tag[TAG_BYTES], const uint8_t *key,
			const uint8_t *data, size_t len)
{
	uint8_t subkey[SUBKEY_BYTES];

	crypto_kdf_derive_from_key(subkey, sizeof(subkey), SUBKEY_ID,
				   subkey_context, key);
	crypto_shorthash_siphashx24(tag, data + HEADER_OFFSET,
				    len - HEADER_OFFSET, subkey);
	sodium_memzero(subkey, sizeof(subkey));
}

static void visit_ip(carob_cbor_t *cbor, carob_addr_t *addr)
{
	carob_str_t ip = {(const char *)addr->ip,
			  addr->family == 6 ? IPV6_BYTES : IPV4_BYTES};

	carob_cbor_bytes(cbor, &ip, IPV6_BYTES);
	if (!carob_cbor_reading(cbor) || cbor->error)
		return;
	if (ip.len != IPV4_BYTES && ip.len != IPV6_BYTES) {
		carob_cbor_fail(cbor, CAROB_EFORMAT);
		return;
	}
	addr->family = ip.len == IPV6_BYTES ? 6 : 4;
	memcpy(addr->ip, ip.ptr, ip.len);
}

static void visit_instance(carob_cbor_t *cbor, carob_instance_id_t *id)
{
	carob_cbor_u32(cbor, &id->id);
	carob_cbor_u32(cbor, &id->incarnation);
}

/* Reads or writes the CBOR array, depending on the direction of `cbor`. */
static void visit_header(carob_cbor_t *cbor, carob_relay_t *relay)
{
	carob_cbor_fields(cbor, FIELDS);
	relay->kind = (carob_relay_kind_t)carob_cbor_bounded_uint(
		cbor, relay->kind, CAROB_RELAY_SEARCH);
	carob_cbor_u32(cbor, &relay->service_id);
	visit_instance(cbor, &relay->from);
	visit_instance(cbor, &relay->to);
	visit_ip(cbor, &relay->caller);
	carob_cbor_u16(cbor, &relay->caller.port);
	carob_cbor_u32(cbor, &relay->age_us);
}

static int append_message(carob_buf_t *out, const carob_msg_t *msg)
{
	uint8_t data[CAROB_MSG_BYTES_MAX];
	size_t len;
	int error;

	error = carob_coap_encode(data, &len, sizeof(data), msg);
	return error ? error : carob_buf_append(out, data, len);
}

int carob_relay_encode(carob_buf_t *out, const carob_keyring_t *ring,
		       const carob_relay_t *relay)
{
	static const uint8_t no_tag[TAG_BYTES];
	carob_relay_t copy = *relay;
	carob_cbor_t cbor;
	const uint8_t *key;
	uint8_t epoch;
	int error;

	key = carob_keyring_active(ring, &epoch);
	if (!key)
		return carob_error_set(CAROB_ENOTFOUND,
				       "cannot relay packet: no active key");
	carob_buf_clear(out);
	error = carob_buf_append(out, &epoch, sizeof(epoch));
	if (!error)
		error = carob_buf_append(out, no_tag, sizeof(no_tag));
	carob_cbor_writer(&cbor, out);
	visit_header(&cbor, &copy);
	if (!error)
		error = cbor.error;
	if (!error)
		error = append_message(out, &relay->msg);
	if (!error)
		compute_tag((uint8_t *)out->ptr + TAG_OFFSET, key,
			    (uint8_t *)out->ptr, out->len);
	return error;
}

int carob_relay_decode(carob_relay_t *out, const carob_keyring_t *ring,
		       const void *data, size_t len)
{
	const uint8_t *bytes = data;
	uint8_t tag[TAG_BYTES];
	carob_cbor_t cbor;
	const uint8_t *key;
	uint8_t refusal;

	memset(out, 0, sizeof(*out));
	if (len <= HEADER_OFFSET || len > CAROB_RELAY_BYTES_MAX)
		return carob_error_set(CAROB_EFORMAT,
				       "invalid size of relayed packet: "
				       "%zu bytes",
				       len);
	key = carob_keyring_get(ring, bytes[0]);
	if (!key)
		return carob_error_set(CAROB_ENOTFOUND,
				       "no key of epoch %u for relayed packet",
				       bytes[0]);
	compute_tag(tag, key, bytes, len);
	if (sodium_memcmp(tag, bytes + TAG_OFFSET, sizeof(tag)) != 0)
		return carob_error_set(CAROB_EAUTH,
				       "wrong tag of relayed packet");
	carob_cbor_reader(&cbor,
			  (carob_str_t){(const char *)data + HEADER_OFFSET,
					len - HEADER_OFFSET});
	visit_header(&cbor, out);
	if (cbor.error || out->kind < CAROB_RELAY_OWNER)
		return carob_error_set(CAROB_EFORMAT,
				       "invalid header of relayed packet");
	return carob_coap_decode(&out->msg, &refusal, cbor.in, cbor.left);
}
