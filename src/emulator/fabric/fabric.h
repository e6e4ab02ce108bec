/**
 * @file fabric.h
 * Types and functions that the source files of carob-fabric share.
 */
#ifndef CAROB_FABRIC_FABRIC_H
#define CAROB_FABRIC_FABRIC_H

#include "emulator/common/command.h"
#include "net/program.h"
#include "tcp_relay.h"
#include "udp_relay.h"

/** State of the program. */
typedef struct fabric {
	carob_program_t program;
	fabric_links_t *links;
	carob_command_t *command;
	size_t udp_count;
	udp_relay_t **udp;
	size_t tcp_count;
	tcp_relay_t **tcp;
} fabric_t;

/**
 * Reads the settings and opens the relays and the command socket.
 *
 * @return 0 or a negative code; call `fabric_close` in any case
 */
int fabric_open(fabric_t *fabric);

/** Closes everything that `fabric_open` opened. */
void fabric_close(fabric_t *fabric);

/** Reads the "targets" of an object. @return 0 or a negative code */
int fabric_read_targets(carob_addr_t targets[FABRIC_TARGETS_MAX], size_t *count,
			const carob_json_node_t *object);

/** Runs a command; see docs/operations/emulators.md. */
int fabric_command(carob_buf_t *response, void *context,
		   const carob_json_node_t *root);

#endif
