# Testbed that runs the deployment ga-central on loopback addresses: two
# availability zones with two entry instances each. Sourced by script/demo, the
# integration tests and the benches. All files are in $BED; when the shell
# exits, all processes are killed, and $BED is removed unless the shell failed
# or CAROB_KEEP_BED is set.
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
BED=$(mktemp -d "${TMPDIR:-/tmp}/carob-bed.XXXXXX")
# Derived from the process id, so that concurrent testbeds do not collide.
NET=${CAROB_NET:-127.$((64 + $$ / 200 % 64)).$((1 + $$ % 200))}
PIDS=()
declare -A PID_OF
INSTANCES=(1 2 3 4)
FIELDLINES=(1 2 3 4)
CERTVAULTS=(5 6)
SECRET=$(printf '%064x' "$$")

# Prints the zone of an instance or upstream host: bed_zone NUMBER
bed_zone() {
	if [ $(($1 % 2)) -eq 1 ]; then echo macon-a; else echo macon-b; fi
}

bed_stop() {
	local status=$?
	trap - EXIT
	[ ${#PIDS[@]} -eq 0 ] || kill -CONT "${PIDS[@]}" 2>/dev/null || true
	[ ${#PIDS[@]} -eq 0 ] || kill -KILL "${PIDS[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	if [ -n "${CAROB_KEEP_BED:-}" ] || [ "$status" -ne 0 ]; then
		echo "kept: $BED" >&2
	else
		rm -rf "$BED"
	fi
	exit "$status"
}
trap bed_stop EXIT
trap 'exit 130' INT TERM

# Prints the arguments as one list, separated by commas.
bed_list() {
	local IFS=,
	echo "$*"
}

# Starts a program in the background: bed_spawn NAME COMMAND...
bed_spawn() {
	local name=$1 out=$BED/$1.out
	shift
	# Daemons log to standard output; emulators print their results there.
	[[ $name != entry-* ]] || out=$BED/$name.log
	"$@" >>"$out" 2>>"$BED/$name.log" &
	PID_OF[$name]=$!
	PIDS+=("$!")
	disown
}

# Waits until an event is in a program's log: bed_wait NAME EVENT [SECONDS]
bed_wait() {
	local tries=$((${3:-15} * 20))
	until grep -q "\"event\":$2," "$BED/$1.log" 2>/dev/null; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ] || ! kill -0 "${PID_OF[$1]}" 2>/dev/null; then
			echo "$1: event $2 is not in the log" >&2
			tail -n 5 "$BED/$1.log" >&2
			return 1
		fi
		sleep 0.05
	done
}

# Waits until a program has exited: bed_wait_end NAME [SECONDS]
bed_wait_end() {
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

# Sends a command to an emulator: bed_command fabric|upstream|platform JSON
bed_command() {
	local port
	case $1 in
	fabric) port=7101 ;;
	upstream) port=7102 ;;
	platform) port=7103 ;;
	esac
	"$BIN/carob-command" "$NET.1:$port" "$2" >/dev/null
}

# Prints the settings of a service's hosts: bed_write_upstream SERVICE HOST...
bed_write_upstream() {
	local name=$1 k hosts=()
	shift
	for k in "$@"; do
		hosts+=("{\"name\":\"$name-$k\",\"address\":\"$NET.5$k:5683\"}")
	done
	echo "{\"name\":\"$name\",\"slots\":3,\"connections\":2000,
	\"min_service_ms\":5,\"mean_service_ms\":30,\"report_lag_ms\":500,
	\"upstreams\":[$(bed_list "${hosts[@]}")]}"
}

# Prints a service of the manifest: bed_write_service ID NAME PORT HOST...
bed_write_service() {
	local id=$1 name=$2 port=$3 k hosts=()
	shift 3
	for k in "$@"; do
		hosts+=("{\"id\":$((id * 100 + k)),\"incarnation\":1,
		\"name\":\"$name-$k\",\"zone\":\"$(bed_zone "$k")\",
		\"addr\":\"$NET.7$k:5683\",
		\"state\":\"${UPSTREAM_STATE[$k]:-active}\"}")
	done
	echo "{\"id\":$id,\"name\":\"$name\",\"addr\":\"$NET.100:$port\",
	\"slots\":3,\"connections\":2000,\"reports_load\":true,
	\"max_runtime_ms\":30000,\"upstreams\":[$(bed_list "${hosts[@]}")]}"
}

# State of upstream hosts in the manifest by their number; default: active.
declare -A UPSTREAM_STATE

bed_write_manifest() {
	echo "{\"deployment\":\"ga-central\",\"zones\":[\"macon-a\",\"macon-b\"],
	\"services\":[
	$(bed_write_service 1 fieldline 5701 "${FIELDLINES[@]}"),
	$(bed_write_service 2 certvault 5702 "${CERTVAULTS[@]}")]}" \
		>"$BED/manifest.json"
}

bed_write_fabric() {
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
	\"targets\":[$(bed_list "${targets1[@]}")]}"
		"{\"name\":\"certvault\",\"listen\":\"$NET.100:5702\",
	\"targets\":[$(bed_list "${targets2[@]}")]}")
	tcp+=("{\"name\":\"platform\",\"listen\":\"$NET.2:8500\",
	\"target\":\"$NET.1:8500\"}")
	for zone in macon-a macon-b; do
		local ips=()
		for k in "${INSTANCES[@]}"; do
			[ "$(bed_zone "$k")" = $zone ] && ips+=("\"$NET.1$k\"")
		done
		for k in "${FIELDLINES[@]}" "${CERTVAULTS[@]}"; do
			[ "$(bed_zone "$k")" = $zone ] && ips+=("\"$NET.5$k\"")
		done
		groups+=("{\"name\":\"$zone\",\"addresses\":[$(bed_list "${ips[@]}")]}")
	done
	groups+=("{\"name\":\"callers\",\"addresses\":[\"$NET.120\"]}"
		"{\"name\":\"platform\",\"addresses\":[\"$NET.1\"]}")
	echo "{\"seed\":${SEED:-1},\"command\":\"$NET.1:7101\",
	\"groups\":[$(bed_list "${groups[@]}")],
	\"udp\":[$(bed_list "${udp[@]}")],\"tcp\":[$(bed_list "${tcp[@]}")]}" \
		>"$BED/fabric.json"
}

bed_write_instance() {
	local k=$1 seeds=() other
	for other in "${INSTANCES[@]}"; do
		[ "$other" = "$k" ] || seeds+=("\"$NET.3$other:7002\"")
	done
	echo "{\"instance\":$k,\"zone\":\"$(bed_zone "$k")\",
	\"deployment\":\"ga-central\",\"service_ip\":\"$NET.1$k\",
	\"relay\":\"$NET.1$k:7001\",\"relay_advertised\":\"$NET.3$k:7001\",
	\"control\":\"$NET.1$k:7002\",\"control_advertised\":\"$NET.3$k:7002\",
	\"platform\":\"$NET.2:8500\",\"secret\":\"$SECRET\",
	\"seeds\":[$(bed_list "${seeds[@]}")]}" >"$BED/entry-$k.json"
}

bed_write_settings() {
	local k
	for k in "${INSTANCES[@]}"; do
		bed_write_instance "$k"
	done
	bed_write_manifest
	bed_write_fabric
	echo "{\"seed\":${SEED:-1},\"ledger\":\"$BED/upstream.ledger\",
	\"command\":\"$NET.1:7102\",\"services\":[
	$(bed_write_upstream fieldline "${FIELDLINES[@]}"),
	$(bed_write_upstream certvault "${CERTVAULTS[@]}")]}" \
		>"$BED/upstream.json"
	echo "{\"listen\":\"$NET.1:8500\",\"command\":\"$NET.1:7103\"}" \
		>"$BED/platform.json"
}

# Starts or restarts an instance; the log of an earlier run is kept aside.
bed_start_instance() {
	[ ! -f "$BED/entry-$1.log" ] ||
		mv "$BED/entry-$1.log" "$BED/entry-$1.log.$(date +%s%N)"
	bed_spawn "entry-$1" "$BIN/carob-entryd" -s "$BED/entry-$1.json"
}

# Waits until an instance has applied a manifest and activated a key.
bed_wait_instance() {
	bed_wait "entry-$1" 2001
	bed_wait "entry-$1" 3031
}

# Waits until an instance knows all others. Its log counts those that it learnt
# of when it joined, and has an event for each that joined later.
bed_wait_members() {
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
			"$BED/entry-$1.log")
	done
}

# Sets whether the fabric sends packets of callers to an instance:
# bed_spray INSTANCE true|false
bed_spray() {
	local service
	for service in fieldline certvault; do
		bed_command fabric "{\"command\":\"enable\",
		\"relay\":\"$service\",\"address\":\"$NET.1$1:1\",\"on\":$2}"
	done
}

bed_publish() {
	"$BIN/carobctl" publish --platform "$NET.1:8500" "$BED/manifest.json" \
		>>"$BED/publish.out"
}

# Starts all processes and waits until the instances are ready for traffic.
bed_start() {
	local k
	bed_write_settings
	bed_spawn platform "$BIN/carob-platform" -s "$BED/platform.json"
	bed_spawn fabric "$BIN/carob-fabric" -s "$BED/fabric.json"
	bed_spawn upstream "$BIN/carob-upstream" -s "$BED/upstream.json"
	bed_wait platform 1001
	bed_wait fabric 1001
	bed_wait upstream 1001
	bed_publish
	for k in "${INSTANCES[@]}"; do
		bed_start_instance "$k"
	done
	for k in "${INSTANCES[@]}"; do
		bed_wait_instance "$k"
		bed_wait_members "$k"
	done
}

# Prints the generations in force on all instances, as JSON, with options for
# `carobctl show`: bed_show [OPTION...]
bed_show() {
	printf '%s\n' "$SECRET" >"$BED/secret"
	"$BIN/carobctl" --json show -n "$NET.31:7002" -s "$BED/secret" "$@"
}

# Waits until a generation is in force on every instance:
# bed_in_force GENERATION [SECONDS]
bed_in_force() {
	local tries=$((${2:-15} * 10)) shown
	until shown=$(bed_show) &&
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

# Starts callers: bed_start_callers NAME SECONDS [SEED]
bed_start_callers() {
	local name=$1 ms=$(($2 * 1000)) seed=${3:-${SEED:-1}} port
	port=$((20000 + ${#PIDS[@]} * 100))
	echo "{\"seed\":$seed,\"ledger\":\"$BED/$name.ledger\",
	\"address\":\"$NET.120:$port\",\"sockets\":20,\"duration_ms\":$ms,
	\"flows\":[
	{\"service\":\"fieldline\",\"address\":\"$NET.100:5701\",\"kind\":\"feed\",
	 \"count\":${FEEDS:-40}},
	{\"service\":\"fieldline\",\"address\":\"$NET.100:5701\",\"kind\":\"check\",
	 \"count\":${CHECKS:-16},\"think_ms\":50,\"cancel_percent\":70,
	 \"cancel_after_ms\":60},
	{\"service\":\"certvault\",\"address\":\"$NET.100:5702\",
	 \"kind\":\"download\",\"count\":${DOWNLOADS:-8},\"think_ms\":50,
	 \"cancel_percent\":60,\"cancel_after_ms\":60}]}" >"$BED/$name.json"
	bed_spawn "$name" "$BIN/carob-caller" -s "$BED/$name.json"
	bed_wait "$name" 1001
}

# Stops the instances without waiting for their flows: a second SIGTERM during
# the graceful stop ends it. Fails if an instance was not running, does not
# exit, or if a sanitizer reported an error.
bed_end_instances() {
	local k
	for k in "${INSTANCES[@]}"; do
		kill -TERM "${PID_OF[entry-$k]}" || return 1
		bed_wait "entry-$k" 1002
		kill -TERM "${PID_OF[entry-$k]}" 2>/dev/null || true
		bed_wait_end "entry-$k" 15
	done
	! grep -l -e Sanitizer -e "runtime error:" "$BED"/*.log* >&2
}

# Ends instances and upstreams, and checks the ledgers of callers and upstreams:
# bed_judge LABEL. The status is that of carob-ledger-check.
bed_judge() {
	bed_end_instances
	kill -TERM "${PID_OF[upstream]}"
	bed_wait_end upstream 10
	"$BIN/carob-ledger-check" --gap-ms "${GAP_MS:-10000}" --label "$1" \
		"$BED"/*.ledger
}

# Prints a number of the callers' summary: bed_value NAME KEY
bed_value() {
	grep -o "\"$2\":[0-9]*" "$BED/$1.out" | tr -dc 0-9
}

# Fails if a number of the callers' summary is too small:
# bed_require NAME KEY MINIMUM
bed_require() {
	[ "$(bed_value "$1" "$2")" -ge "$3" ] && return
	echo "$1: $2 is less than $3" >&2
	cat "$BED/$1.out" >&2
	return 1
}

# Fails if a number of the callers' summary is not 0: bed_forbid NAME KEY
bed_forbid() {
	[ "$(bed_value "$1" "$2")" -eq 0 ] && return
	echo "$1: $2 is not 0" >&2
	cat "$BED/$1.out" >&2
	return 1
}
