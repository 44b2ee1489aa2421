#!/usr/bin/env bash
# Runs three daemons as separate processes on one stand-in store, drives programs through them, ends one with SIGKILL
# and stops one with SIGTERM on the way, starts both anew, and audits what callers, back ends and records show.
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
base="${CELERYGW_BASE_PORT:-19000}"
operator_key=fleet-check-operator-key
caller_key=fleet-check-caller-key
sha() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
}
trap finish EXIT

settings() { # INDEX
  local p=$((base + 100 * $1))
  cat << S
[host]
name = entry-$1
zone = zone-$1
release = fleet-check
[listen]
address = 127.0.0.1
http-port = $((p + 1))
operator-port = $((p + 2))
peer-port = $((p + 3))
gossip-port = $((p + 4))
[advertise]
address = 127.0.0.1
[store]
uri = http://127.0.0.1:$base
[gossip]
seeds = 127.0.0.1:$((base + 104)), 127.0.0.1:$((base + 204)), 127.0.0.1:$((base + 304))
keys = 1:fleet-check-gossip-key
send-key = 1
[peer]
key = fleet-check-peer-key-0
[operators]
check = operator:$(sha $operator_key)
[stop]
balancer-grace = 1s
S
}

start() { # INDEX; exec makes the process id that of the daemon itself
  bash -c 'exec ./celerygwd "$1"' _ "$out/daemon-$1.ini" >> "$out/daemon-$1.log" 2>&1 &
  daemon_pid[$1]=$!
  pids+=($!)
}

until_ready() { # INDEX
  for _ in $(seq 150); do
    if curl -fs "http://127.0.0.1:$((base + 100 * $1 + 1))/ready" > /dev/null; then return; fi
    sleep 0.2
  done
  echo "fleet-check: daemon $1 did not become ready" >&2
  exit 1
}

engine() { # INDEX
  printf '{"id":"engine-%s","host":"127.0.0.1","port":%s,"zone":"zone-1","models":["ranch-7b","master-13b"]}' \
    "$1" $((base + 2 + $1))
}

service() { # NAME
  printf '{"name":"%s","host":"127.0.0.1","port":%s,"zone":"zone-1","outcomePath":"/outcomes/"}' "$1" $((base + 1))
}

cat > "$out/config.json" << C
{"version": "0", "configuration": {
  "customers": [{"id": "check", "keySha256Hex": ["$(sha $caller_key)"], "ceilingTokens": "100000000", "share": 1}],
  "classes": [{"name": "client-session", "rank": 0, "ageingMs": "30000"},
              {"name": "standard", "rank": 1, "ageingMs": "30000"}],
  "backends": [$(engine 0), $(engine 1), $(engine 2)],
  "services": [$(service records), $(service queue)],
  "limits": {"maxBodyBytes": "4194304", "maxTurns": 200}}}
C

declare -A daemon_pid
bash -c 'exec ./celerygw standin --port "$1" --engines 3' _ "$base" > "$out/standin.log" 2>&1 &
pids+=($!)
for i in 1 2 3; do settings $i > "$out/daemon-$i.ini"; ./celerygwd --check "$out/daemon-$i.ini"; done
for i in 1 2 3; do start $i; done
printf %s $operator_key > "$out/operator.key"
for _ in $(seq 100); do
  if ./celerygw config apply --server 127.0.0.1:$((base + 102)) --key-file "$out/operator.key" "$out/config.json" \
    > "$out/apply.log" 2>&1; then break; fi
  sleep 0.3
done
for i in 1 2 3; do until_ready $i; done
sleep 3
echo "fleet-check: three daemons are ready; $declarations declarations and $sessions sessions begin."
hosts=$(for i in 1 2 3; do printf 'http://127.0.0.1:%s,' $((base + 100 * i + 1)); done)
engines=$(for i in 2 3 4; do printf 'http://127.0.0.1:%s,' $((base + i)); done)
./celerygw load --hosts "${hosts%,}" --engines "${engines%,}" --tools "http://127.0.0.1:$((base + 1))" \
  --key $caller_key --declarations "$declarations" --sessions "$sessions" > "$out/load.log" 2>&1 &
load=$!
sleep 3
echo "fleet-check: SIGKILL to daemon 1."
kill -KILL "${daemon_pid[1]}"
sleep 4
echo "fleet-check: SIGTERM to daemon 2."
kill -TERM "${daemon_pid[2]}"
start 1
wait "${daemon_pid[2]}" && echo "fleet-check: daemon 2 stopped with code 0." \
  || echo "fleet-check: daemon 2 stopped with code $?."
start 2
result=0
wait $load || result=$?
tail -n 12 "$out/load.log"
grep -h 'cutting off' "$out"/daemon-*.log || echo "fleet-check: no daemon cut off a request."
exit $result
