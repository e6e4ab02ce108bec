#!/bin/bash
# Open connections to the store go silent in the pause after a change.
# Exit status: 1 DRAIN was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
. "$(dirname "$0")/../standin/run.sh"
play silent 2
