/* carob-fabric: emulates a network with faults. */
#include "carobtrail/errors.h"
#include "fabric.h"

int main(int argc, const char **argv)
{
	fabric_t self = {.program.name = "carob-fabric"};
	int error;

	error = carob_program_init(&self.program, argc, argv);
	if (!error) {
		error = fabric_open(&self);
		if (error == CAROB_EINVALID)
			carob_program_refuse_settings(&self.program, error);
		else if (error)
			carob_program_fail(&self.program, error);
	}
	if (!error)
		carob_program_run(&self.program);
	fabric_close(&self);
	return self.program.exit_status;
}
