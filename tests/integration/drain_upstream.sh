# An upstream is drained under load. Flows that begin when the new manifest is
# in force are not placed on it; its existing flows stay and lose no request.
set -euo pipefail
. script/testbed.sh

# Prints the request ids of the ledger lines with a text: rids LEDGER TEXT
rids() {
	grep -F "$2" "$BED/$1.ledger" | grep -o '"rid":"[0-9a-f]*"' | sort -u
}

bed_start
bed_start_callers early 16 1
sleep 3
UPSTREAM_STATE[4]=draining
bed_write_manifest
bed_publish
bed_in_force 2
bed_start_callers late 6 2
bed_wait_end late
bed_wait_end early
bed_require early answered 50
bed_require late answered 50
bed_forbid early unknown
bed_forbid late unknown
bed_judge drain-upstream

rids upstream '"upstream":"fieldline-4"' >"$BED/drained"
rids early '"kind":"call"' >"$BED/early"
rids late '"kind":"call"' >"$BED/late"
# The check below only means something if the upstream got flows before.
[ "$(comm -12 "$BED/drained" "$BED/early" | wc -l)" -ge 10 ]
if [ -n "$(comm -12 "$BED/drained" "$BED/late")" ]; then
	echo "new flows were placed on the draining upstream fieldline-4" >&2
	exit 1
fi
