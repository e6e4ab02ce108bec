# Testbed that runs the deployment ga-central on loopback addresses: two
# availability zones with two entry instances each. Sourced by script/demo, the
# integration tests and the benches. All files are in $TESTBED_DIR; when the
# shell exits, all processes are killed, and $TESTBED_DIR is removed unless the
# shell failed or CAROB_KEEP_BED is set.
#
# All traffic between the processes passes carob-fabric, which can disturb it.
# Each process has an address of its own, and for the others an address at
# which the fabric listens and forwards:
#   $NET.1k   entry instance k (services, relay :7001, control :7002)
#   $NET.3k   instance k, through the fabric
#   $NET.5k   upstream host k
#   $NET.7k   upstream host k, through the fabric
#   $NET.1    platform, and the command ports of all emulators
#   $NET.2    platform, through the fabric
#   $NET.100  public address of the services, through the fabric
#   $NET.120  callers

BIN=${CAROB_BIN:-build/bin}
TESTBED_DIR=$(mktemp -d "${TMPDIR:-/tmp}/carob-bed.XXXXXX")
# Derived from the process id, so that concurrent testbeds do not collide.
NET=${CAROB_NET:-127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))}
PIDS=()
declare -A PID_OF
INSTANCES=(1 2 3 4)
FIELDLINES=(1 2 3 4)
CERTVAULTS=(5 6)
SECRET=$(printf '%064x' "$$")

# Prints the zone of an instance or upstream host: testbed_zone NUMBER
testbed_zone() {
	if [ $(($1 % 2)) -eq 1 ]; then echo macon-a; else echo macon-b; fi
}

testbed_cleanup() {
	local status=$?
	trap - EXIT
	[ ${#PIDS[@]} -eq 0 ] || kill -CONT "${PIDS[@]}" 2>/dev/null || true
	[ ${#PIDS[@]} -eq 0 ] || kill -KILL "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	if [ -n "${CAROB_KEEP_BED:-}" ] || [ "$status" -ne 0 ]; then
		echo "kept: $TESTBED_DIR" >&2
	else
		rm -rf "$TESTBED_DIR"
	fi
	exit "$status"
}
trap testbed_cleanup EXIT
trap 'exit 130' INT TERM

# Prints the arguments as one list, separated by commas.
testbed_join() {
	local IFS=,
	echo "$*"
}

# Starts a program in the background: testbed_spawn NAME COMMAND...
testbed_spawn() {
	local name=$1 out=$TESTBED_DIR/$1.out
	shift
	# Daemons log to standard output; emulators print their results there.
	[[ $name != entry-* ]] || out=$TESTBED_DIR/$name.log
	"$@" >>"$out" 2>>"$TESTBED_DIR/$name.log" &
	PID_OF[$name]=$!
	PIDS+=("$!")
	disown
}

# Waits until an event is in a program's log:
# testbed_wait_event NAME EVENT [SECONDS]
testbed_wait_event() {
	local tries=$((${3:-15} * 20))
	until grep -q "\"event\":$2," "$TESTBED_DIR/$1.log" 2>/dev/null; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ] || ! kill -0 "${PID_OF[$1]}" 2>/dev/null; then
			echo "$1: event $2 is not in the log" >&2
			tail -n 5 "$TESTBED_DIR/$1.log" >&2
			return 1
		fi
		sleep 0.05
	done
}

# Waits until a program has exited: testbed_wait_exit NAME [SECONDS]
testbed_wait_exit() {
	local tries=$((${2:-60} * 20))
	while kill -0 "${PID_OF[$1]}" 2>/dev/null; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ]; then
			echo "$1 is still running" >&2
			return 1
		fi
		sleep 0.05
	done
}

# Sends a command to an emulator: testbed_command fabric|upstream|platform JSON
testbed_command() {
	local port
	case $1 in
	fabric) port=7101 ;;
	upstream) port=7102 ;;
	platform) port=7103 ;;
	esac
	"$BIN/carob-command" "$NET.1:$port" "$2" >/dev/null
}

# Prints the settings of a service's hosts:
# testbed_print_upstream SERVICE HOST...
testbed_print_upstream() {
	local name=$1 k hosts=()
	shift
	for k in "$@"; do
		hosts+=("{\"name\":\"$name-$k\",\"address\":\"$NET.5$k:5683\"}")
	done
	echo "{\"name\":\"$name\",\"slots\":3,\"connections\":2000,
	\"min_service_ms\":5,\"mean_service_ms\":30,\"report_lag_ms\":500,
	\"upstreams\":[$(testbed_join "${hosts[@]}")]}"
}

# Prints a service of the manifest: testbed_print_service ID NAME PORT HOST...
testbed_print_service() {
	local id=$1 name=$2 port=$3 k hosts=()
	shift 3
	for k in "$@"; do
		hosts+=("{\"id\":$((id * 100 + k)),\"incarnation\":1,
		\"name\":\"$name-$k\",\"zone\":\"$(testbed_zone "$k")\",
		\"addr\":\"$NET.7$k:5683\",
		\"state\":\"${UPSTREAM_STATE[$k]:-active}\"}")
	done
	echo "{\"id\":$id,\"name\":\"$name\",\"addr\":\"$NET.100:$port\",
	\"slots\":3,\"connections\":2000,\"reports_load\":true,
	\"max_runtime_ms\":30000,\"upstreams\":[$(testbed_join "${hosts[@]}")]}"
}

# State of upstream hosts in the manifest by their number; default: active.
declare -A UPSTREAM_STATE

testbed_write_manifest() {
	echo "{\"deployment\":\"ga-central\",\"zones\":[\"macon-a\",\"macon-b\"],
	\"services\":[
	$(testbed_print_service 1 fieldline 5701 "${FIELDLINES[@]}"),
	$(testbed_print_service 2 certvault 5702 "${CERTVAULTS[@]}")]}" \
		>"$TESTBED_DIR/manifest.json"
}

testbed_write_fabric() {
	local k zone udp=() tcp=() targets1=() targets2=() groups=()
	for k in "${INSTANCES[@]}"; do
		targets1+=("\"$NET.1$k:5701\"")
		targets2+=("\"$NET.1$k:5702\"")
		udp+=("{\"name\":\"relay-$k\",\"listen\":\"$NET.3$k:7001\",
		\"targets\":[\"$NET.1$k:7001\"]}")
		tcp+=("{\"name\":\"control-$k\",\"listen\":\"$NET.3$k:7002\",
		\"target\":\"$NET.1$k:7002\"}")
	done
	for k in "${FIELDLINES[@]}" "${CERTVAULTS[@]}"; do
		udp+=("{\"name\":\"upstream-$k\",\"listen\":\"$NET.7$k:5683\",
		\"targets\":[\"$NET.5$k:5683\"]}")
	done
	udp+=("{\"name\":\"fieldline\",\"listen\":\"$NET.100:5701\",
	\"targets\":[$(testbed_join "${targets1[@]}")]}"
		"{\"name\":\"certvault\",\"listen\":\"$NET.100:5702\",
	\"targets\":[$(testbed_join "${targets2[@]}")]}")
	tcp+=("{\"name\":\"platform\",\"listen\":\"$NET.2:8500\",
	\"target\":\"$NET.1:8500\"}")
	for zone in macon-a macon-b; do
		local ips=()
		for k in "${INSTANCES[@]}"; do
			[ "$(testbed_zone "$k")" = $zone ] && ips+=("\"$NET.1$k\"")
		done
		for k in "${FIELDLINES[@]}" "${CERTVAULTS[@]}"; do
			[ "$(testbed_zone "$k")" = $zone ] && ips+=("\"$NET.5$k\"")
		done
		groups+=("{\"name\":\"$zone\",\"addresses\":[$(testbed_join "${ips[@]}")]}")
	done
	groups+=("{\"name\":\"callers\",\"addresses\":[\"$NET.120\"]}"
		"{\"name\":\"platform\",\"addresses\":[\"$NET.1\"]}")
	echo "{\"seed\":${SEED:-1},\"command\":\"$NET.1:7101\",
	\"groups\":[$(testbed_join "${groups[@]}")],
	\"udp\":[$(testbed_join "${udp[@]}")],\"tcp\":[$(testbed_join "${tcp[@]}")]}" \
		>"$TESTBED_DIR/fabric.json"
}

testbed_write_instance() {
	local k=$1 seeds=() other
	for other in "${INSTANCES[@]}"; do
		[ "$other" = "$k" ] || seeds+=("\"$NET.3$other:7002\"")
	done
	echo "{\"instance\":$k,\"zone\":\"$(testbed_zone "$k")\",
	\"deployment\":\"ga-central\",\"service_ip\":\"$NET.1$k\",
	\"relay\":\"$NET.1$k:7001\",\"relay_advertised\":\"$NET.3$k:7001\",
	\"control\":\"$NET.1$k:7002\",\"control_advertised\":\"$NET.3$k:7002\",
	\"platform\":\"$NET.2:8500\",\"secret\":\"$SECRET\",
	\"seeds\":[$(testbed_join "${seeds[@]}")]}" >"$TESTBED_DIR/entry-$k.json"
}

testbed_write_settings() {
	local k
	for k in "${INSTANCES[@]}"; do
		testbed_write_instance "$k"
	done
	testbed_write_manifest
	testbed_write_fabric
	echo "{\"seed\":${SEED:-1},\"ledger\":\"$TESTBED_DIR/upstream.ledger\",
	\"command\":\"$NET.1:7102\",\"services\":[
	$(testbed_print_upstream fieldline "${FIELDLINES[@]}"),
	$(testbed_print_upstream certvault "${CERTVAULTS[@]}")]}" \
		>"$TESTBED_DIR/upstream.json"
	echo "{\"listen\":\"$NET.1:8500\",\"command\":\"$NET.1:7103\"}" \
		>"$TESTBED_DIR/platform.json"
}

# Starts or restarts an instance; the log of an earlier run is kept aside.
testbed_start_instance() {
	[ ! -f "$TESTBED_DIR/entry-$1.log" ] ||
		mv "$TESTBED_DIR/entry-$1.log" "$TESTBED_DIR/entry-$1.log.$(date +%s%N)"
	testbed_spawn "entry-$1" "$BIN/carob-entryd" -s "$TESTBED_DIR/entry-$1.json"
}

# Waits until an instance has applied a manifest and activated a key.
testbed_wait_instance() {
	testbed_wait_event "entry-$1" 2001
	testbed_wait_event "entry-$1" 3031
}

# Waits until an instance knows all others. Its log counts those that it learnt
# of when it joined, and has an event for each that joined later.
testbed_wait_members() {
	local tries=300 known
	until [ "${known:-0}" -ge ${#INSTANCES[@]} ]; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ]; then
			echo "entry-$1 knows $known of ${#INSTANCES[@]} instances" >&2
			return 1
		fi
		sleep 0.05
		known=$(awk -F'"members":' '/"event":3011,/ { n = $2 + 0; in_ = 1 }
			/"event":3001,/ && in_ { n++ } END { print n + 0 }' \
			"$TESTBED_DIR/entry-$1.log")
	done
}

# Sets whether the fabric sends packets of callers to an instance:
# testbed_set_receiving INSTANCE true|false
testbed_set_receiving() {
	local service
	for service in fieldline certvault; do
		testbed_command fabric "{\"command\":\"enable\",
		\"relay\":\"$service\",\"address\":\"$NET.1$1:1\",\"on\":$2}"
	done
}

testbed_publish() {
	"$BIN/carobctl" publish --platform "$NET.1:8500" "$TESTBED_DIR/manifest.json" \
		>>"$TESTBED_DIR/publish.out"
}

# Starts all processes and waits until the instances are ready for traffic.
testbed_start() {
	local k
	testbed_write_settings
	testbed_spawn platform "$BIN/carob-platform" -s "$TESTBED_DIR/platform.json"
	testbed_spawn fabric "$BIN/carob-fabric" -s "$TESTBED_DIR/fabric.json"
	testbed_spawn upstream "$BIN/carob-upstream" -s "$TESTBED_DIR/upstream.json"
	testbed_wait_event platform 1001
	testbed_wait_event fabric 1001
	testbed_wait_event upstream 1001
	testbed_publish
	for k in "${INSTANCES[@]}"; do
		testbed_start_instance "$k"
	done
	for k in "${INSTANCES[@]}"; do
		testbed_wait_instance "$k"
		testbed_wait_members "$k"
	done
}

# Prints the generations in force on all instances, as JSON, with options for
# `carobctl show`: testbed_show [OPTION...]
testbed_show() {
	printf '%s\n' "$SECRET" >"$TESTBED_DIR/secret"
	"$BIN/carobctl" --json show -n "$NET.31:7002" -s "$TESTBED_DIR/secret" "$@"
}

# Waits until a generation is in force on every instance:
# testbed_wait_in_force GENERATION [SECONDS]
testbed_wait_in_force() {
	local tries=$((${2:-15} * 10)) shown
	until shown=$(testbed_show) &&
		[[ $shown == *"\"newest\":$1,"*"\"behind\":0,\"silent\":0"* ]] &&
		[ "$(grep -o "\"generation\":$1,\"publish\"" <<<"$shown" |
			wc -l)" -eq "${#INSTANCES[@]}" ]; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ]; then
			echo "generation $1 is not in force on all instances" >&2
			echo "$shown" >&2
			return 1
		fi
		sleep 0.1
	done
}

# Starts callers: testbed_start_callers NAME SECONDS [SEED]
testbed_start_callers() {
	local name=$1 ms=$(($2 * 1000)) seed=${3:-${SEED:-1}} port
	port=$((20000 + ${#PIDS[@]} * 100))
	echo "{\"seed\":$seed,\"ledger\":\"$TESTBED_DIR/$name.ledger\",
	\"address\":\"$NET.120:$port\",\"sockets\":20,\"duration_ms\":$ms,
	\"flows\":[
	{\"service\":\"fieldline\",\"address\":\"$NET.100:5701\",\"kind\":\"feed\",
	 \"count\":${FEEDS:-40}},
	{\"service\":\"fieldline\",\"address\":\"$NET.100:5701\",\"kind\":\"check\",
	 \"count\":${CHECKS:-16},\"think_ms\":50,\"cancel_percent\":70,
	 \"cancel_after_ms\":60},
	{\"service\":\"certvault\",\"address\":\"$NET.100:5702\",
	 \"kind\":\"download\",\"count\":${DOWNLOADS:-8},\"think_ms\":50,
	 \"cancel_percent\":60,\"cancel_after_ms\":60}]}" >"$TESTBED_DIR/$name.json"
	testbed_spawn "$name" "$BIN/carob-caller" -s "$TESTBED_DIR/$name.json"
	testbed_wait_event "$name" 1001
}

# Stops the instances without waiting for their flows: a second SIGTERM during
# the graceful stop ends it. Fails if an instance was not running, does not
# exit, or if a sanitizer reported an error.
testbed_stop_instances() {
	local k
	for k in "${INSTANCES[@]}"; do
		kill -TERM "${PID_OF[entry-$k]}" || return 1
		testbed_wait_event "entry-$k" 1002
		kill -TERM "${PID_OF[entry-$k]}" 2>/dev/null || true
		testbed_wait_exit "entry-$k" 15
	done
	! grep -l -e Sanitizer -e "runtime error:" "$TESTBED_DIR"/*.log* >&2
}

# Ends instances and upstreams, and checks the ledgers of callers and upstreams:
# testbed_check_ledgers LABEL. The status is that of carob-ledger-check.
testbed_check_ledgers() {
	testbed_stop_instances
	kill -TERM "${PID_OF[upstream]}"
	testbed_wait_exit upstream 10
	"$BIN/carob-ledger-check" --gap-ms "${GAP_MS:-10000}" --label "$1" \
		"$TESTBED_DIR"/*.ledger
}

# Prints a number of the callers' summary: testbed_summary_value NAME KEY
testbed_summary_value() {
	grep -o "\"$2\":[0-9]*" "$TESTBED_DIR/$1.out" | tr -dc 0-9
}

# Fails if a number of the callers' summary is too small:
# testbed_require_min NAME KEY MINIMUM
testbed_require_min() {
	[ "$(testbed_summary_value "$1" "$2")" -ge "$3" ] && return
	echo "$1: $2 is less than $3" >&2
	cat "$TESTBED_DIR/$1.out" >&2
	return 1
}

# Fails if a number of the callers' summary is not 0:
# testbed_require_zero NAME KEY
testbed_require_zero() {
	[ "$(testbed_summary_value "$1" "$2")" -eq 0 ] && return
	echo "$1: $2 is not 0" >&2
	cat "$TESTBED_DIR/$1.out" >&2
	return 1
}
