#include "carobtrail/name_table.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_CAP 16

carob_name_id_t carob_name_table_find(const carob_name_table_t *table,
				      carob_str_t name)
{
	for (size_t i = 0; i < table->count; i++)
		if (carob_str_eq(carob_str_from(table->names[i]), name))
			return (carob_name_id_t)i;
	return CAROB_NAME_NONE;
}

static int grow(carob_name_table_t *table)
{
	size_t cap = table->cap ? 2 * table->cap : FIRST_CAP;
	char **names = realloc(table->names, cap * sizeof(*names));

	if (!names)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate name table");
	table->names = names;
	table->cap = cap;
	return 0;
}

int carob_name_table_add(carob_name_id_t *out, carob_name_table_t *table,
			 carob_str_t name)
{
	int error;

	*out = carob_name_table_find(table, name);
	if (*out != CAROB_NAME_NONE)
		return 0;
	error = table->count == table->cap ? grow(table) : 0;
	if (error)
		return error;
	table->names[table->count] = strndup(name.ptr, name.len);
	if (!table->names[table->count])
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate a name of the name "
				       "table");
	*out = (carob_name_id_t)table->count++;
	return 0;
}

const char *carob_name_table_text(const carob_name_table_t *table,
				  carob_name_id_t id)
{
	return id < table->count ? table->names[id] : "";
}

void carob_name_table_dispose(carob_name_table_t *table)
{
	for (size_t i = 0; i < table->count; i++)
		free(table->names[i]);
	free(table->names);
	memset(table, 0, sizeof(*table));
}
