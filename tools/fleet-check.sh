#!/usr/bin/env bash
# Runs three daemons as separate processes on one stand-in store and sends programs through them. During the run it
# kills one daemon with SIGKILL, stops another with SIGTERM and restarts both. Afterwards it audits the responses that
# callers received, the calls that the stand-ins executed and the programs' records.
# Usage: tools/fleet-check.sh [DECLARATIONS [SESSIONS]]
set -euo pipefail
cd "$(dirname "$0")/.."
declarations="${1:-20}"
sessions="${2:-10}"
out=out/fleet-check
rm -rf "$out"
mkdir -p "$out"
./celerygw --help > /dev/null
./celerygwd --help > /dev/null
export CELERYGW_NO_BUILD=1
base_port="${CELERYGW_BASE_PORT:-19000}"
operator_key=fleet-check-operator-key
caller_key=fleet-check-caller-key
sha256_hex() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
pids=()
kill_all() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
}
trap kill_all EXIT

print_settings() { # INDEX
  local daemon_base_port=$((base_port + 100 * $1))
  cat << SETTINGS
[host]
name = entry-$1
zone = zone-$1
release = fleet-check
[listen]
address = 127.0.0.1
http-port = $((daemon_base_port + 1))
operator-port = $((daemon_base_port + 2))
peer-port = $((daemon_base_port + 3))
gossip-port = $((daemon_base_port + 4))
[advertise]
address = 127.0.0.1
[store]
uri = http://127.0.0.1:$base_port
[gossip]
seeds = 127.0.0.1:$((base_port + 104)), 127.0.0.1:$((base_port + 204)), 127.0.0.1:$((base_port + 304))
keys = 1:fleet-check-gossip-key
send-key = 1
[peer]
key = fleet-check-peer-key-0
[operators]
check = operator:$(sha256_hex $operator_key)
[stop]
balancer-grace = 1s
SETTINGS
}

start_daemon() { # INDEX; exec replaces the shell, so that $! is the process id of the daemon
  bash -c 'exec ./celerygwd "$1"' _ "$out/daemon-$1.ini" >> "$out/daemon-$1.log" 2>&1 &
  daemon_pid[$1]=$!
  pids+=($!)
}

wait_until_ready() { # INDEX
  for _ in $(seq 150); do
    if curl -fs "http://127.0.0.1:$((base_port + 100 * $1 + 1))/ready" > /dev/null; then return; fi
    sleep 0.2
  done
  echo "fleet-check: daemon $1 did not become ready after 150 polls; giving up" >&2
  exit 1
}

print_engine() { # INDEX
  printf '{"id":"engine-%s","host":"127.0.0.1","port":%s,"zone":"zone-1","models":["ranch-7b","master-13b"]}' \
    "$1" $((base_port + 2 + $1))
}

print_service() { # NAME
  printf '{"name":"%s","host":"127.0.0.1","port":%s,"zone":"zone-1","outcomePath":"/outcomes/"}' "$1" $((base_port + 1))
}

cat > "$out/config.json" << CONFIG
{"version": "0", "configuration": {
  "customers": [{"id": "check", "keySha256Hex": ["$(sha256_hex $caller_key)"], "ceilingTokens": "100000000", "share": 1}],
  "classes": [{"name": "client-session", "rank": 0, "ageingMs": "30000"},
              {"name": "standard", "rank": 1, "ageingMs": "30000"}],
  "backends": [$(print_engine 0), $(print_engine 1), $(print_engine 2)],
  "services": [$(print_service records), $(print_service queue)],
  "limits": {"maxBodyBytes": "4194304", "maxTurns": 200}}}
CONFIG

declare -A daemon_pid
bash -c 'exec ./celerygw standin --port "$1" --engines 3' _ "$base_port" > "$out/standin.log" 2>&1 &
pids+=($!)
for i in 1 2 3; do print_settings $i > "$out/daemon-$i.ini"; ./celerygwd --check "$out/daemon-$i.ini"; done
for i in 1 2 3; do start_daemon $i; done
printf %s $operator_key > "$out/operator.key"
for _ in $(seq 100); do
  if ./celerygw config apply --server 127.0.0.1:$((base_port + 102)) --key-file "$out/operator.key" "$out/config.json" \
    > "$out/apply.log" 2>&1; then break; fi
  sleep 0.3
done
for i in 1 2 3; do wait_until_ready $i; done
sleep 3
echo "fleet-check: three daemons are ready; starting $declarations declaration programs and $sessions sessions."
hosts=$(for i in 1 2 3; do printf 'http://127.0.0.1:%s,' $((base_port + 100 * i + 1)); done)
engines=$(for i in 2 3 4; do printf 'http://127.0.0.1:%s,' $((base_port + i)); done)
./celerygw load --hosts "${hosts%,}" --engines "${engines%,}" --tools "http://127.0.0.1:$((base_port + 1))" \
  --key $caller_key --declarations "$declarations" --sessions "$sessions" > "$out/load.log" 2>&1 &
load_pid=$!
sleep 3
echo "fleet-check: sending SIGKILL to daemon 1."
kill -KILL "${daemon_pid[1]}"
sleep 4
echo "fleet-check: sending SIGTERM to daemon 2."
kill -TERM "${daemon_pid[2]}"
start_daemon 1
wait "${daemon_pid[2]}" && echo "fleet-check: daemon 2 exited with code 0." \
  || echo "fleet-check: daemon 2 exited with code $?."
start_daemon 2
exit_code=0
wait $load_pid || exit_code=$?
tail -n 12 "$out/load.log"
grep -h 'cutting off' "$out"/daemon-*.log || echo "fleet-check: no daemon cut off a request."
exit $exit_code
