/**
 * @file name_table.h
 * Interns the names of services and availability zones as small integers, so
 * that integers are compared for each packet.
 */
#ifndef CAROBTRAIL_NAME_TABLE_H
#define CAROBTRAIL_NAME_TABLE_H

#include "carobtrail/str.h"

/** Number of an interned name; valid as long as its table. */
typedef uint32_t carob_name_id_t;

/** No name. */
#define CAROB_NAME_NONE UINT32_MAX

/** Interned names, in the order of their first use; zero-initialise it. */
typedef struct carob_name_table {
	char **names;
	size_t count;
	size_t cap;
} carob_name_table_t;

/**
 * Finds a name, or adds it if it is new.
 *
 * @param out receives the number of the name
 * @param table the table
 * @param name the name; it is copied
 * @return 0 or CAROB_ENOMEM
 */
int carob_name_table_add(carob_name_id_t *out, carob_name_table_t *table,
			 carob_str_t name);

/** @return the number of a name, or CAROB_NAME_NONE */
carob_name_id_t carob_name_table_find(const carob_name_table_t *table,
				      carob_str_t name);

/**
 * @return the name of a number, borrowed from the table; "" for
 *         CAROB_NAME_NONE
 */
const char *carob_name_table_text(const carob_name_table_t *table,
				  carob_name_id_t id);

/** Releases all names and zeroes the table. */
void carob_name_table_dispose(carob_name_table_t *table);

#endif
