#include "test_runner.h"

#include "carobtrail/errors.h"
#include "carobtrail/token.h"

#include <string.h>

static const uint8_t key_a[CAROB_KEY_BYTES] = {1, 2, 3};
static const uint8_t key_b[CAROB_KEY_BYTES] = {9, 8, 7};

static const carob_token_t tokens[] = {
	{0},
	{
		.service_id = 7,
		.upstream = {12, 3},
		.owner = {4, 0xdeadbeef},
		.flow = 0x123456789abcULL,
		.flags = CAROB_TOKEN_ESTABLISHED,
		.issued_min = 65535,
	},
	{
		.service_id = UINT32_MAX,
		.upstream = {UINT32_MAX, UINT16_MAX},
		.owner = {UINT32_MAX, UINT32_MAX},
		.flow = CAROB_FLOW_ID_MASK,
		.flags = 0x0f,
		.issued_min = UINT16_MAX,
	},
};

static carob_keyring_t *keyring_with(uint8_t epoch, const uint8_t *key)
{
	carob_keyring_t *ring;

	CU_ASSERT_EQUAL_FATAL(carob_keyring_new(&ring), 0);
	CU_ASSERT_EQUAL_FATAL(carob_keyring_add(ring, epoch, key), 0);
	CU_ASSERT_EQUAL_FATAL(carob_keyring_activate(ring, epoch), 0);
	return ring;
}

static bool token_eq(const carob_token_t *a, const carob_token_t *b)
{
	return a->service_id == b->service_id &&
	       carob_upstream_id_eq(a->upstream, b->upstream) &&
	       carob_instance_id_eq(a->owner, b->owner) && a->flow == b->flow &&
	       a->flags == b->flags && a->issued_min == b->issued_min;
}

static void test_round_trip(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);

	for (size_t i = 0; i < CAROB_ARRAY_SIZE(tokens); i++) {
		uint8_t sealed[CAROB_TOKEN_SEALED_BYTES];
		carob_token_t opened;

		CU_ASSERT_EQUAL(carob_token_seal(sealed, ring, &tokens[i]), 0);
		CU_ASSERT_EQUAL(sealed[0], 3);
		CU_ASSERT_EQUAL(carob_token_open(&opened, ring, sealed,
						 sizeof(sealed)),
				0);
		CU_ASSERT_TRUE(token_eq(&opened, &tokens[i]));
	}
	carob_keyring_free(ring);
}

static void test_every_bit_flip_is_refused(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);
	uint8_t sealed[CAROB_TOKEN_SEALED_BYTES];

	/*
	 * All other epochs have a key too, so that a token with a changed
	 * epoch reaches the authentication.
	 */
	for (unsigned int epoch = 0; epoch < 256; epoch++)
		if (epoch != 3)
			carob_keyring_add(ring, (uint8_t)epoch, key_a);
	CU_ASSERT_EQUAL(carob_token_seal(sealed, ring, &tokens[1]), 0);
	for (size_t bit = 0; bit < sizeof(sealed) * 8; bit++) {
		carob_token_t opened = tokens[2];

		sealed[bit / 8] ^= (uint8_t)(1u << bit % 8);
		CU_ASSERT_EQUAL(carob_token_open(&opened, ring, sealed,
						 sizeof(sealed)),
				CAROB_EAUTH);
		CU_ASSERT_TRUE(token_eq(&opened, &tokens[2]));
		sealed[bit / 8] ^= (uint8_t)(1u << bit % 8);
	}
	carob_keyring_free(ring);
}

static void test_wrong_length_is_refused(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);
	uint8_t sealed[CAROB_TOKEN_SEALED_BYTES + 8] = {0};
	carob_token_t opened;

	CU_ASSERT_EQUAL(carob_token_seal(sealed, ring, &tokens[1]), 0);
	for (size_t len = 0; len <= sizeof(sealed); len++) {
		int expected = len == CAROB_TOKEN_SEALED_BYTES ? 0
							       : CAROB_EFORMAT;

		CU_ASSERT_EQUAL(carob_token_open(&opened, ring, sealed, len),
				expected);
	}
	carob_keyring_free(ring);
}

static void test_rotation(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);
	uint8_t old[CAROB_TOKEN_SEALED_BYTES];
	uint8_t new[CAROB_TOKEN_SEALED_BYTES];
	carob_token_t opened;

	CU_ASSERT_EQUAL(carob_token_seal(old, ring, &tokens[1]), 0);
	CU_ASSERT_EQUAL(carob_keyring_add(ring, 4, key_b), 0);
	CU_ASSERT_EQUAL(carob_keyring_activate(ring, 4), 0);
	CU_ASSERT_EQUAL(carob_token_seal(new, ring, &tokens[1]), 0);
	CU_ASSERT_EQUAL(new[0], 4);
	CU_ASSERT_EQUAL(carob_token_open(&opened, ring, old, sizeof(old)), 0);
	carob_keyring_remove(ring, 3);
	CU_ASSERT_EQUAL(carob_token_open(&opened, ring, old, sizeof(old)),
			CAROB_ENOTFOUND);
	CU_ASSERT_EQUAL(carob_token_open(&opened, ring, new, sizeof(new)), 0);
	carob_keyring_remove(ring, 4);
	CU_ASSERT_EQUAL(carob_token_seal(new, ring, &tokens[1]),
			CAROB_ENOTFOUND);
	carob_keyring_free(ring);
}

static void test_different_key_does_not_open(void)
{
	carob_keyring_t *a = keyring_with(3, key_a);
	carob_keyring_t *b = keyring_with(3, key_b);
	uint8_t sealed[CAROB_TOKEN_SEALED_BYTES];
	carob_token_t opened;

	CU_ASSERT_EQUAL(carob_token_seal(sealed, a, &tokens[1]), 0);
	CU_ASSERT_EQUAL(carob_token_open(&opened, b, sealed, sizeof(sealed)),
			CAROB_EAUTH);
	carob_keyring_free(a);
	carob_keyring_free(b);
}

static void test_keyring_refuses_conflicts(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);

	CU_ASSERT_EQUAL(carob_keyring_add(ring, 3, key_a), 0);
	CU_ASSERT_EQUAL(carob_keyring_add(ring, 3, key_b), CAROB_ECONFLICT);
	CU_ASSERT_EQUAL(carob_keyring_activate(ring, 5), CAROB_ENOTFOUND);
	CU_ASSERT_PTR_NULL(carob_keyring_get(ring, 5));
	CU_ASSERT_EQUAL(
		memcmp(carob_keyring_get(ring, 3), key_a, CAROB_KEY_BYTES), 0);
	carob_keyring_free(ring);
}

static void test_sealing_is_deterministic(void)
{
	carob_keyring_t *ring = keyring_with(3, key_a);
	carob_token_t one = tokens[1];
	carob_token_t other = tokens[1];
	uint8_t a[CAROB_TOKEN_SEALED_BYTES];
	uint8_t b[CAROB_TOKEN_SEALED_BYTES];

	CU_ASSERT_EQUAL(carob_token_seal(a, ring, &one), 0);
	CU_ASSERT_EQUAL(carob_token_seal(b, ring, &one), 0);
	CU_ASSERT_EQUAL(memcmp(a, b, sizeof(a)), 0);
	other.flow ^= 1;
	CU_ASSERT_EQUAL(carob_token_seal(b, ring, &other), 0);
	/* The IVs, which are the nonces, must differ. */
	CU_ASSERT_NOT_EQUAL(memcmp(a + 1, b + 1, 12), 0);
	carob_keyring_free(ring);
}

int main(void)
{
	static const test_case_t cases[] = {
		{"a sealed token opens to the same fields", test_round_trip},
		{"every single-bit change is refused",
		 test_every_bit_flip_is_refused},
		{"a token of any other length is refused",
		 test_wrong_length_is_refused},
		{"a key opens tokens until it is removed", test_rotation},
		{"a different key does not open a token",
		 test_different_key_does_not_open},
		{"the keyring refuses a second key for an epoch",
		 test_keyring_refuses_conflicts},
		{"equal tokens seal equally, different ones differ",
		 test_sealing_is_deterministic},
	};

	return run_tests("token", cases, CAROB_ARRAY_SIZE(cases));
}
