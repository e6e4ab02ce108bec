#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs a C compiler only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
"${CC:-gcc}" -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -o bin/standin standin/*.c
