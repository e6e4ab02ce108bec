#include "emulator/common/number_rule.h"

int carob_numbers_read(void *out, const carob_json_node_t *object,
		       const carob_number_rule_t *rules, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		uint64_t value;
		int error;

		error = carob_json_get_u64_or(&value, object, rules[i].key,
					      rules[i].min, rules[i].max,
					      rules[i].fallback);
		if (error)
			return error;
		*(uint32_t *)((char *)out + rules[i].offset) = (uint32_t)value;
	}
	return 0;
}
