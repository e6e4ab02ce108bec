# Checks the exit status of "carobctl check", which scripts rely on, and that
# nothing but the findings is on standard output.
set -euo pipefail

ctl=$CAROB_BIN/carobctl
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0

# expect STATUS TEXT ARGUMENT...
expect() {
	local wanted=$1 text=$2 status=0
	shift 2
	"$ctl" "$@" >"$dir/output" 2>&1 || status=$?
	if [ "$status" -ne "$wanted" ] || ! grep -qF -- "$text" "$dir/output"; then
		echo "carobctl $*: status $status instead of $wanted, or no \"$text\":"
		head -c 400 "$dir/output"
		failures=$((failures + 1))
	fi
}

limits='{"max_header_bytes":1,"max_body_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}'
echo '{"version":7,"routes":[],"services":[],"limits":'"$limits"'}' >"$dir/good"
sed 's/"services"/"colour":1,\n"services"/' "$dir/good" >"$dir/warning"
sed 's/7/"7"/' "$dir/good" >"$dir/error"
{ cat "$dir/good"; head -c 1048576 /dev/zero | tr '\0' ' '; } >"$dir/long"
head -c 100000 /dev/zero | tr '\0' '[' >"$dir/deep"

expect 0 "0 errors" check "$dir/good"
expect 1 "$dir/warning:1: warning: colour: 1: unknown field" check "$dir/warning"
expect 2 "$dir/error:1: error: version" check "$dir/error"
expect 2 "expected at most 1048576" check "$dir/long"
expect 2 "expected valid JSON" check "$dir/deep"
expect 2 "$dir/error:1: error" check --settings "$dir/error" "$dir/good"
expect 2 "above 7, which is in force" check --in-force "$dir/good" "$dir/good"
expect 3 "configuration in force: line 1" check --in-force "$dir/error" "$dir/good"
expect 3 "No such file" check "$dir/none"
expect 3 "No such file" check --settings "$dir/none" "$dir/good"
expect 3 "expected an IP address" check --instance nowhere "$dir/good"
expect 3 "no response" check --instance 127.0.0.1:1 "$dir/good"
expect 3 "expected one file" check
expect 3 "unknown option" check --tune "$dir/good"
expect 3 '"name":"CAROB_ENOTFOUND"' check --json "$dir/none"
expect 1 '"status":1,"errors":0,"warnings":1' check --json "$dir/warning"
expect 2 '"line":1,"severity":"error","path":"version"' --json check "$dir/error"
expect 0 "Examples:" check --help
exit "$((failures > 0))"
