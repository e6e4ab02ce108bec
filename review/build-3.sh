#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script, into target/review-3.
# carob-flowd itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/*.c; do
	[ -e "$source" ] || continue
	"${CC:-gcc}" -std=gnu17 -O2 -Wall -Wextra -Ireview/standins-3 \
		-o "$out/$(basename "${source%.c}")" \
		review/standins-3/sim.c "$source"
done
