/**
 * @file test_manifest.h
 * Small manifests for tests.
 */
#ifndef CAROBTRAIL_TEST_MANIFEST_H
#define CAROBTRAIL_TEST_MANIFEST_H

#include "carobtrail/manifest.h"

#include <string.h>

#define TEST_SERVICE	   7
#define TEST_OTHER_SERVICE 8
#define TEST_FIRST_ID	   100 /* ID of TEST_SERVICE's first upstream */
#define TEST_OTHER_ID	   900 /* ID of TEST_OTHER_SERVICE's upstream */

/**
 * Appends the JSON of one upstream.
 *
 * @param json receives the JSON
 * @param id ID of the upstream
 * @param state 'd' for draining, any other letter for active
 */
static inline void test_manifest_upstream(carob_buf_t *json, unsigned int id,
					  char state)
{
	carob_buf_printf(json,
			 "{\"id\":%u,\"name\":\"u%u\",\"zone\":\"macon-a\","
			 "\"addr\":\"127.0.0.1:%u\",\"state\":\"%s\"}",
			 id, id, 10000 + id,
			 state == 'd' ? "draining" : "active");
}

/**
 * Builds a manifest of two services in one availability zone.
 *
 * @param states one letter for each upstream of TEST_SERVICE: 'a' for active,
 *        'd' for draining, '-' for an ID without an upstream
 * @param slots slots of each upstream of TEST_SERVICE
 * @param connections connections of each upstream of TEST_SERVICE
 * @return the manifest, to be released with `carob_manifest_free`, or NULL
 */
static inline carob_manifest_t *test_manifest_new(const char *states,
						  unsigned int slots,
						  unsigned int connections)
{
	carob_buf_t json = CAROB_BUF_INIT;
	carob_manifest_t *manifest = NULL;
	const char *separator = "";

	carob_buf_printf(&json,
			 "{\"deployment\":\"test\",\"zones\":[\"macon-a\"],"
			 "\"services\":[{\"id\":%d,\"name\":\"one\","
			 "\"addr\":\"127.0.0.1:9001\",\"slots\":%u,"
			 "\"connections\":%u,\"upstreams\":[",
			 TEST_SERVICE, slots, connections);
	for (unsigned int i = 0; states[i]; i++) {
		if (states[i] == '-')
			continue;
		carob_buf_printf(&json, "%s", separator);
		test_manifest_upstream(&json, TEST_FIRST_ID + i, states[i]);
		separator = ",";
	}
	carob_buf_printf(&json,
			 "]},{\"id\":%d,\"name\":\"two\","
			 "\"addr\":\"127.0.0.1:9002\",\"slots\":1,"
			 "\"connections\":1,\"upstreams\":[",
			 TEST_OTHER_SERVICE);
	test_manifest_upstream(&json, TEST_OTHER_ID, 'a');
	carob_buf_printf(&json, "]}]}");
	if (carob_manifest_parse(&manifest, "test", carob_buf_view(&json)) != 0)
		manifest = NULL;
	carob_buf_dispose(&json);
	return manifest;
}

#endif
