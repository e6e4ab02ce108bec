/* carob-command: sends a command to a running emulator and prints the
 * response. */
#include "carobtrail/errors.h"
#include "carobtrail/str.h"
#include "net/sockaddr.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define RESPONSE_BYTES_MAX 65536
#define RESPONSE_TIMEOUT_S 2
#define EXIT_FAILED	   1
#define EXIT_USAGE	   2

static int send_command(char *response, const carob_addr_t *addr,
			const char *text)
{
	struct timeval timeout = {.tv_sec = RESPONSE_TIMEOUT_S};
	struct sockaddr_storage sa;
	socklen_t sa_len = carob_sockaddr_from(&sa, addr);
	ssize_t len = -1;
	int fd = socket(sa.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return CAROB_EIO;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&sa, sa_len) == 0 &&
	    send(fd, text, strlen(text), 0) >= 0)
		len = recv(fd, response, RESPONSE_BYTES_MAX - 1, 0);
	close(fd);
	if (len < 0)
		return carob_error_set(CAROB_EUNAVAILABLE,
				       "no response to the command");
	response[len] = '\0';
	return 0;
}

int main(int argc, char **argv)
{
	static char response[RESPONSE_BYTES_MAX];
	carob_addr_t addr;

	if (argc != 3 ||
	    carob_addr_parse(&addr, carob_str_from(argv[1])) != 0) {
		fprintf(stderr, "usage: carob-command ADDRESS:PORT JSON\n");
		return EXIT_USAGE;
	}
	if (send_command(response, &addr, argv[2]) != 0) {
		fprintf(stderr, "carob-command: no response from %s\n",
			argv[1]);
		return EXIT_FAILED;
	}
	fputs(response, stdout);
	return strncmp(response, "{\"result\":0", 11) == 0 ? 0 : EXIT_FAILED;
}
