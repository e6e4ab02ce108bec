#include "emulator/common/command.h"

#include "carobtrail/errors.h"

#include <stdlib.h>
#include <string.h>

struct carob_command {
	carob_udp_handler_t handler;
	carob_udp_t *udp;
	carob_command_fn_t *run;
	void *context;
};

static int parse_and_run(carob_buf_t *response, carob_command_t *command,
			 carob_str_t text)
{
	carob_json_doc_t *doc;
	carob_json_node_t root;
	int error;

	error = carob_json_doc_parse(&doc, "command", text,
				     CAROB_JSON_SETTINGS_BYTES_MAX);
	if (error)
		return error;
	root = carob_json_doc_root(doc);
	error = command->run(response, command->context, &root);
	carob_json_doc_free(doc);
	return error;
}

static void format_error(carob_buf_t *line, int error)
{
	json_t *text = json_string(carob_error_last());
	char *quoted = json_dumps(text, JSON_ENCODE_ANY);

	carob_buf_printf(line, "{\"result\":%d,\"error\":%s}\n", error,
			 quoted ? quoted : "\"\"");
	free(quoted);
	json_decref(text);
}

static void on_datagram(carob_udp_handler_t *handler, const carob_addr_t *from,
			carob_str_t data)
{
	carob_command_t *command = (carob_command_t *)handler;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t members = CAROB_BUF_INIT;
	CAROB_CLEANUP(carob_buf_dispose) carob_buf_t line = CAROB_BUF_INIT;
	int error;

	error = parse_and_run(&members, command, data);
	if (error)
		format_error(&line, error);
	else
		carob_buf_printf(&line, "{\"result\":0%s}\n",
				 members.ptr ? members.ptr : "");
	carob_udp_send(command->udp, from, line.ptr, line.len);
}

int carob_command_open(carob_command_t **out, carob_udp_hub_t *hub,
		       const carob_addr_t *local, carob_command_fn_t *run,
		       void *context)
{
	carob_command_t *command = calloc(1, sizeof(*command));
	int error;

	if (!command)
		return carob_error_set(CAROB_ENOMEM,
				       "cannot allocate command socket");
	command->handler.receive = on_datagram;
	command->run = run;
	command->context = context;
	error = carob_udp_open(&command->udp, hub, local, &command->handler);
	if (error) {
		free(command);
		return error;
	}
	*out = command;
	return 0;
}

void carob_command_close(carob_command_t *command)
{
	if (!command)
		return;
	carob_udp_close(command->udp);
	free(command);
}

int carob_command_choose(size_t *out, const carob_json_node_t *root,
			 const void *rows, size_t row_bytes, size_t count)
{
	const char *names[CAROB_COMMANDS_MAX];
	carob_json_node_t node;
	int error = carob_json_get(&node, root, "command");

	if (error)
		return error;
	for (size_t i = 0; i < count; i++)
		memcpy(&names[i], (const char *)rows + i * row_bytes,
		       sizeof(names[i]));
	return carob_json_choice(out, &node, names, count);
}
