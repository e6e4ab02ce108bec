/**
 * @file number_rule.h
 * Reads the numbers in an emulator's settings according to a table of rules.
 */
#ifndef CAROB_EMULATOR_NUMBER_RULE_H
#define CAROB_EMULATOR_NUMBER_RULE_H

#include "util/json_doc.h"

/** Key, range and default of a number. */
typedef struct carob_number_rule {
	const char *key;
	size_t offset; /* offset of the uint32_t in the settings */
	uint64_t min;
	uint64_t max;
	uint64_t fallback; /* value if the key is missing */
} carob_number_rule_t;

/** The rule of a member of `type` whose key has the member's name. */
#define CAROB_NUMBER_RULE(type, member, min, max, fallback)                    \
	{                                                                      \
#member, offsetof(type, member), min, max, fallback            \
	}

/**
 * Reads the numbers that the rules describe.
 *
 * @param out the settings to which the rules' offsets refer
 * @param object the object that holds the numbers
 * @param rules the rules
 * @param count the number of rules
 * @return 0 or CAROB_EINVALID
 */
int carob_numbers_read(void *out, const carob_json_node_t *object,
		       const carob_number_rule_t *rules, size_t count);

#endif
