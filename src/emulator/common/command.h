/**
 * @file command.h
 * Commands to a running emulator: a JSON object in a UDP datagram on
 * loopback, answered by a JSON object.
 */
#ifndef CAROB_EMULATOR_COMMAND_H
#define CAROB_EMULATOR_COMMAND_H

#include "net/udp.h"
#include "util/json_doc.h"

typedef struct carob_command carob_command_t;

/**
 * Carries out a command.
 *
 * @param answer receives the members of the answer besides "result", as
 *               text such as `,"drained":true`
 * @param context as given to `carob_command_open`
 * @param root the command
 * @return 0 or a negative code; the last error goes into the answer
 */
typedef int carob_command_fn_t(carob_buf_t *answer, void *context,
			       const carob_json_node_t *root);

/**
 * Opens the socket for commands.
 *
 * @param out receives it; release it with `carob_command_close`
 * @param hub the loop's UDP buffers
 * @param local address to bind
 * @param run carries out commands
 * @param context passed to `run`
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int carob_command_open(carob_command_t **out, carob_udp_hub_t *hub,
		       const carob_addr_t *local, carob_command_fn_t *run,
		       void *context);

/**
 * Finds what a command asks for by its member "command".
 *
 * @param out receives the index of the row
 * @param root the command
 * @param rows each begins with a `const char *`, the name of a command
 * @param row_bytes size of a row
 * @param count of rows, at most CAROB_COMMANDS_MAX
 * @return 0, CAROB_EINVALID (the error names all commands) or CAROB_ENOTFOUND
 */
int carob_command_choose(size_t *out, const carob_json_node_t *root,
			 const void *rows, size_t row_bytes, size_t count);

/** Most commands of one emulator. */
#define CAROB_COMMANDS_MAX 16

/** Closes the socket. */
void carob_command_close(carob_command_t *command);

#endif
