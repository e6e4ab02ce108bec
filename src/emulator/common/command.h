/**
 * @file command.h
 * Commands to a running emulator. A command is a JSON object in a UDP
 * datagram on loopback; the response is a JSON object too.
 */
#ifndef CAROB_EMULATOR_COMMAND_H
#define CAROB_EMULATOR_COMMAND_H

#include "net/udp.h"
#include "util/json_doc.h"

/** A socket that receives commands. */
typedef struct carob_command carob_command_t;

/**
 * Runs a command.
 *
 * @param response receives the members of the response besides "result", as
 *                 text such as `,"drained":true`
 * @param context as given to `carob_command_open`
 * @param root the command
 * @return 0 or a negative code, which is sent with the last error's text
 */
typedef int carob_command_fn_t(carob_buf_t *response, void *context,
			       const carob_json_node_t *root);

/**
 * Opens a socket for commands.
 *
 * @param out receives the socket; release it with `carob_command_close`
 * @param hub the loop's UDP buffers
 * @param local address to bind
 * @param run runs the commands
 * @param context passed to `run`
 * @return 0, CAROB_ENOMEM or CAROB_EIO
 */
int carob_command_open(carob_command_t **out, carob_udp_hub_t *hub,
		       const carob_addr_t *local, carob_command_fn_t *run,
		       void *context);

/**
 * Finds the row of a table that has the name in a command's member
 * "command".
 *
 * @param out receives the index of the row
 * @param root the command
 * @param rows the table; each row starts with a `const char *`, the name of
 *             a command
 * @param row_bytes size of a row
 * @param count number of rows, at most CAROB_COMMANDS_MAX
 * @return 0, CAROB_EINVALID (the error lists all commands) or CAROB_ENOTFOUND
 */
int carob_command_choose(size_t *out, const carob_json_node_t *root,
			 const void *rows, size_t row_bytes, size_t count);

/** Largest number of commands of one emulator. */
#define CAROB_COMMANDS_MAX 16

/** Closes the socket; NULL is ignored. */
void carob_command_close(carob_command_t *command);

#endif
