/**
 * @file callers.h
 * Callers: each has requests of one kind, over long flows or a flow each,
 * tries again as far as the kind allows, and checks every answer.
 */
#ifndef CAROB_EMULATOR_FLOWS_CALLERS_H
#define CAROB_EMULATOR_FLOWS_CALLERS_H

#include "bed.h"

/** Starts `count` callers in each zone. @return 0 or a negative code */
int callers_new(callers_t **out, bed_t *bed, size_t count);

/** Ends all callers. */
void callers_free(callers_t *callers);

#endif
