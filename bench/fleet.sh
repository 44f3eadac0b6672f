# A fleet of real processes on loopback, for the benchmarks in this directory:
# a platform stand-in, workers (one stand-in process simulates many), entry VMs,
# pools, teams and keys, all set up through the client.  Set these variables
# before sourcing it:
#   dcs       names of data centres
#   entries   entry VMs in each
#   workers   total number, spread over the data centres, four per rack
#   standins  processes that simulate them, in each data centre
#   pools     total number; the last one is the spare
#   teams     total number
# shellcheck shell=sh disable=SC2154,SC2034,SC2086 # the caller sets and reads
# variables; some are lists
B=${B:-build/release}
dir=$(mktemp -d) || exit 1
pids='' standin_pids='' servers='' vms='' platform_options=${platform_options:-}

fail() {
	printf 'bench failed: %s\n' "$*" >&2
	tail -n 3 "$dir"/*.log >&2
	exit 1
}

# On every exit, kill all processes and remove all files.
finish() {
	code=$?
	trap - EXIT INT TERM
	for pid in $pids $standin_pids; do
		kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
	done
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT
trap 'exit 1' INT TERM

# until_true SECONDS WHAT COMMAND...: retry COMMAND until it succeeds; fail with
# the message WHAT after SECONDS.
until_true() {
	left=$(($1 * 10)) what=$2
	shift 2
	until "$@" >"$dir/until" 2>&1; do
		left=$((left - 1))
		test $left -gt 0 || { cat "$dir/until" >&2 && fail "$what"; }
		sleep 0.1
	done
}
operate() {
	# shellcheck disable=SC2086 # $servers is a list of options
	"$B/bamboofront" $servers --operator bench --key-file "$dir/operator" "$@"
}
must() { operate "$@" >"$dir/out" 2>&1 || { cat "$dir/out" >&2 && fail "$*"; }; }
member() { sed -n 's/^ *"'"$1"'": "\{0,1\}\([^",]*\)"\{0,1\},\{0,1\}$/\1/p' "$2" | head -n 1; }
random_key() { od -An -N32 -tx1 /dev/urandom | tr -d ' \n'; }
port() { sed 's/.*"'"$2"'": \([0-9]*\).*/\1/' "$dir/$1.ports"; }

# Print time and load average: the machine is shared, so other load can distort
# the figures.
machine_note() {
	printf '%s; load %s of %s processors\n' "$(date -u '+%Y-%m-%d %H:%M:%S')" \
		"$(cut -d' ' -f1-3 /proc/loadavg)" "$(nproc)"
}

# vm_start NAME DC: start an entry VM.  $settings: additional members of its
# settings file.
vm_start() {
	cat >"$dir/$1.json" <<SETTINGS
{
  "vm": "$1", "dc": "$2",
  "callers": {"listen": "127.0.0.1:0"},
  "operators": {"listen": "127.0.0.1:0", "keys": {"bench": "$operator_key"}},
  "peers": {"listen": "127.0.0.1:0", "key": "$peer_key"},
  "platform": {"url": "http://127.0.0.1:$platform"}${settings:-}
}
SETTINGS
	"$B/bamboofrontd" --settings "$dir/$1.json" --announce "$dir/$1.ports" \
		2>"$dir/$1.log" &
	pids="$pids $!" vms="$vms $1"
	eval "pid_$1=$!"
	until_true 10 "$1 does not listen" test -s "$dir/$1.ports"
	servers="$servers --server 127.0.0.1:$(port "$1" operators)"
	callers="$callers http://127.0.0.1:$(port "$1" callers)"
}

# Print a configuration with all pools and teams.
config_write() {
	list=$(printf '"%s",' $dcs)
	printf '{"pools": {'
	i=1
	while [ $i -le "$pools" ]; do
		printf '%s"p%d": {"dcs": [%s], "budget": 1, "spare": %s}' \
			"$(test $i -gt 1 && echo ,)" $i "${list%,}" \
			"$(test $i -eq "$pools" && echo true || echo false)"
		i=$((i + 1))
	done
	printf '}, "teams": {'
	i=1
	while [ $i -le "$teams" ]; do
		printf '%s"t%d": {"share": %d, "limit": %d}' \
			"$(test $i -gt 1 && echo ,)" $i \
			$((i <= 2 ? 4 : 1)) "${limit:-1000}"
		i=$((i + 1))
	done
	printf '}}\n'
}

# Add the workers to the pools round robin, across all data centres.
workers_add() {
	n=0
	for dc in $dcs; do
		i=0
		cat "$dir/$dc"-*.out | sed -n 's/^worker \([^ ]*\) port /\1 /p' \
			>"$dir/list"
		while read -r name p; do
			must vm add "$name" "p$(((n % pools) + 1))" --dc "$dc" \
				--rack "$dc-r$((i / 4))" --slots 8 \
				--address "127.0.0.1:$p" --cpu-milli 32000 \
				--memory-mb 64000
			direct="$direct http://127.0.0.1:$p"
			i=$((i + 1)) n=$((n + 1))
		done <"$dir/list"
	done
}

# Succeed if the entry VMs' logs show that all workers have answered.
workers_seen() {
	test "$(cat "$dir"/e*.log | grep -c WORKER_SEEN)" -ge "$workers"
}

# Start all processes and configure the fleet.  Sets $callers and $direct (lists
# of URLs) and $platform (a port), and writes the keys to $dir/t1.key and so on.
fleet_start() {
	callers='' direct=''
	operator_key=$(random_key) peer_key=$(random_key)
	(umask 077 && printf '%s\n' "$operator_key" >"$dir/operator")
	# shellcheck disable=SC2086 # a list of options
	"$B/standin-platform" $platform_options >"$dir/platform.out" \
		2>"$dir/platform.log" &
	standin_pids="$standin_pids $!" pid_platform=$!
	until_true 10 'platform does not listen' grep -q '^port' "$dir/platform.out"
	platform=$(sed -n 's/^port //p' "$dir/platform.out")
	count=$(echo $dcs | wc -w) togo=$workers
	share=$((count * standins))
	for dc in $dcs; do
		s=1
		while [ $s -le "$standins" ]; do
			n=$(((togo + share - 1) / share))
			"$B/standin-worker" --workers $n --prefix "$dc-w$s" \
				>"$dir/$dc-$s.out" 2>"$dir/$dc-$s.log" &
			standin_pids="$standin_pids $!"
			until_true 10 "workers of $dc do not start" grep -q '^ready' \
				"$dir/$dc-$s.out"
			togo=$((togo - n)) share=$((share - 1)) s=$((s + 1))
		done
	done
	n=0
	for dc in $dcs; do
		i=0
		while [ $i -lt "$entries" ]; do
			n=$((n + 1)) i=$((i + 1))
			vm_start "e$n" "$dc"
		done
	done
	config_write >"$dir/config"
	until_true 20 'configuration is not accepted' operate config apply \
		"$dir/config" --expect 0
	workers_add
	i=1
	while [ $i -le "${keys:-$teams}" ]; do
		operate key create "t$i" "t$i-1" --json >"$dir/out" || fail "no key for t$i"
		(umask 077 && member secret "$dir/out" >"$dir/t$i.key")
		test -s "$dir/t$i.key" || fail "no secret for t$i"
		i=$((i + 1))
	done
	until_true 30 'workers do not answer' workers_seen
}

# Print NAME=PID of each entry VM, the arguments of bench-procs.
vm_pids() { for v in $vms; do eval "printf '%s=%s ' $v \$pid_$v"; done; }

# Shut down every entry VM, then the stand-ins, and remove their files.
fleet_stop() {
	for pid in $pids; do
		kill -TERM "$pid"
	done
	for pid in $pids; do
		wait "$pid" || printf 'process %s ended with status %s\n' "$pid" $? >&2
	done
	for pid in $standin_pids; do
		kill -TERM "$pid" && wait "$pid"
	done 2>/dev/null
	pids='' standin_pids='' servers='' vms=''
	rm -f "$dir"/*.ports "$dir"/*.out "$dir"/*.log
}

# Make the platform's list of VMs contain all workers, as on a real platform.
# Every entry VM reads the whole list every timing.list_poll_ms.
fleet_listed() {
	for dc in $dcs; do
		cat "$dir/$dc"-*.out | sed -n "s/^worker \([^ ]*\) port \(.*\)/{\"vm\": \"\1\", \"dc\": \"$dc\", \"rack\": \"$dc-r1\", \"address\": \"127.0.0.1:\2\", \"leaving\": false}/p"
	done | sed '1s/^/[/; $!s/$/,/; $s/$/]/' >"$dir/vms.json"
	"$B/bench-procs" --platform "http://127.0.0.1:$platform" \
		--list "$dir/vms.json" || fail 'platform rejects the list of VMs'
}
