# Checks the exit status and the messages of the carobctl commands that need
# neither a platform nor an instance.
set -euo pipefail

ctl=$CAROB_BIN/carobctl
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failures=0

# Runs carobctl and checks that it exits with STATUS and prints TEXT:
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

good=examples/hou.json
sed 's/"slots": 2/"slots": 0/' "$good" >"$dir/slots.json"
sed 's/"zone": "hou-d"/"zone": "hou-x"/' "$good" >"$dir/zone.json"
sed 's/"name": "berthdesk",/"name": "berthdesk", "wait": 1,/' "$good" \
	>"$dir/key.json"
sed 's/"id": 102/"id": 101/' "$good" >"$dir/id.json"
sed 's/"id": 1,/"id": 1, "id": 2,/' "$good" >"$dir/twice.json"
sed 's/"state": "active"/"state": "draining"/;t' "$good" >"$dir/drain.json"
head -c 500 "$good" >"$dir/short.json"
head -c 100000 /dev/zero | tr '\0' '[' >"$dir/deep.json"
{ cat "$good"; head -c 1048576 /dev/zero | tr '\0' ' '; } >"$dir/long"
head -c 1048576 "$dir/long" >"$dir/1MB.json"
head -c 1048577 "$dir/long" >"$dir/1MB+1.json"

expect 0 "2 services, 18 upstreams" validate "$good"
expect 0 '"upstreams":18' --json validate "$good" examples/ga-central.json
expect 0 "valid" validate "$dir/1MB.json"
expect 8 "expected at most" validate "$dir/1MB+1.json"
expect 8 "nesting deeper than" validate "$dir/deep.json"
expect 2 "slots.json: services[0].slots: 0: expected" validate "$dir/slots.json"
expect 2 "services[0].upstreams[3].zone" validate "$dir/zone.json"
expect 2 "services[0].wait: 1: expected one of" validate "$dir/key.json"
expect 2 "upstreams[1].id: 101: expected an id" validate "$dir/id.json"
expect 2 "duplicate" validate "$dir/twice.json"
expect 5 "expected a valid JSON document" validate "$dir/short.json"
expect 3 "No such file" validate "$dir/none.json"
expect 2 '"name":"CAROB_EINVALID"' --json validate "$dir/id.json"
expect 14 "expected at least one manifest file" validate
expect 14 "expected a command listed by" tune
expect 14 "unknown option" validate --tune "$good"
expect 0 "publish a manifest" --help
expect 0 "same manifest" diff "$good" "$good"
expect 0 "changed upstream berthdesk-01 (id 101)" diff "$good" "$dir/drain.json"
expect 14 "expected two files" diff "$good"
expect 14 "--platform is missing" publish "$good"
expect 14 "expected an IP address" publish --platform nowhere "$good"
expect 14 "expected --instances" show
expect 14 "expected --service or --token" explain
exit "$((failures > 0))"
