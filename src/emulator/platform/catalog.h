/**
 * @file catalog.h
 * The platform's catalogue of registered services. It shows changes only after
 * a configurable lag.
 */
#ifndef CAROB_PLATFORM_CATALOG_H
#define CAROB_PLATFORM_CATALOG_H

#include "carobtrail/kernel.h"
#include "carobtrail/str.h"

#include <jansson.h>

/** One registration of an instance of a service. */
typedef struct catalog_entry {
	json_t *service;	  /* the object that was registered */
	uint64_t registered_ns;	  /* when it was registered */
	uint64_t deregistered_ns; /* UINT64_MAX: still registered */
	struct catalog_entry *prev;
	struct catalog_entry *next;
} catalog_entry_t;

/** The catalogue. */
typedef struct catalog {
	carob_kernel_t *kernel;
	catalog_entry_t *entries;
	uint64_t lag_ns;
	uint64_t frozen_ns; /* time as of which it is shown; 0: not frozen */
} catalog_t;

/** Initialises an empty catalogue; release it with `catalog_dispose`. */
void catalog_init(catalog_t *catalog, carob_kernel_t *kernel);

/** Releases all entries. */
void catalog_dispose(catalog_t *catalog);

/** Freezes what the catalogue shows, or lets it follow changes again. */
void catalog_freeze(catalog_t *catalog, bool frozen);

/**
 * Registers an instance of a service. It replaces one with the same id.
 *
 * @param catalog the catalogue
 * @param service an object with "ID", "Name", "Address", "Port"; the catalogue
 *                takes a reference of its own
 * @return 0, CAROB_EINVALID or CAROB_ENOMEM
 */
int catalog_register(catalog_t *catalog, json_t *service);

/** Deregisters the instance with an id, if there is one. */
void catalog_deregister(catalog_t *catalog, const char *id);

/** @return the instances of a service that the catalogue shows, a new array */
json_t *catalog_list(catalog_t *catalog, const char *name);

#endif
