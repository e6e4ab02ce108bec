#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later into build-review-2/. They need
# a C compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for scenario in dropped split writer; do
	"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -o "build-review-2/$scenario" \
		review/standin-2/bed.c "review/standin-2/$scenario.c"
done
