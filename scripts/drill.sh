#!/usr/bin/env bash
# Runs nine instances in three data centres on loopback addresses, with simulated engines and
# services, and puts load on them while it kills, pauses and stops the instances one after
# another. It ends only processes that it started, by their ids, and prints how many requests
# succeeded, how often each call was executed and how much engine memory was left reserved.
set -uo pipefail
cd "$(dirname "$0")/.."
BAMBOO=$PWD/bin/bamboo
DIR=$(mktemp -d /tmp/bamboo-drill.XXXXXX)
LOAD_SECONDS=${DRILL_SECONDS:-150}
RATE=${DRILL_RATE:-12}
declare -A PID

data_centre_of() { echo $((($1 - 1) % 3 + 1)); }
host_of() { echo "127.0.$(data_centre_of "$1").$((10 + $1))"; }
log_step() { printf '%4ds  %s\n' $((SECONDS - STARTED)) "$*"; }

cleanup() {
  for p in "${PID[@]}"; do kill -CONT "$p" 2>/dev/null; kill -9 "$p" 2>/dev/null; done
  wait 2>/dev/null
}
trap cleanup EXIT

CONTROL_COUNT=${DRILL_CONTROLS:-3}
CONTROL_PEERS=""
for n in $(seq "$CONTROL_COUNT"); do CONTROL_PEERS+="${CONTROL_PEERS:+, }\"$(host_of $n):8401\""; done
ENTRY_FLAGS=""
OPERATOR_FLAGS=""
for n in $(seq 9); do
  ENTRY_FLAGS+=" --entry $(host_of "$n"):8400"
  OPERATOR_FLAGS+=" --operators $(host_of "$n"):8402"
done

print_tables() { # print_tables LIMIT
  cat <<JSON
{
  "routes": [
    {"name": "advice", "match": {"model": "starter-advice"}, "pool": "advice", "limit": "$1", "class": "interactive"},
    {"name": "orders", "match": {"path": "/orders/"}, "pool": "orders", "limit": "10s", "once": true},
  ],
  "pools": [
    {"name": "advice", "kind": "engine", "model": "starter-advice"},
    {"name": "orders", "kind": "service"},
  ],
}
JSON
}

start_instance() { # start_instance N
  local h; h=$(host_of "$1")
  cat > "$DIR/i$1.json" <<JSON
{
  "name": "i$1", "data_centre": "dakar-$(data_centre_of "$1")",
  "callers": "$h:8400", "peers": "$h:8401", "operators": "$h:8402",
  "seeds": [$CONTROL_PEERS], $([ "$CONTROL_COUNT" -gt 1 ] && echo "\"replicas\": [$CONTROL_PEERS],")
  "control": $([ "$1" -le "$CONTROL_COUNT" ] && echo true || echo false),
  "data": "$DIR/data-i$1", "tables": "$DIR/tables.json", "drain": "40s",
}
JSON
  "$BAMBOO" serve "$DIR/i$1.json" >> "$DIR/i$1.log" 2>&1 &
  PID[i$1]=$!
}

start_fake() { # start_fake NAME ADDRESS DATA_CENTRE POOL KIND
  # shellcheck disable=SC2086
  "$BAMBOO" fake --name "$1" --addr "$2" --data-centre "dakar-$3" --pool "$4" --kind "$5" \
    --prefill 4us --decode 5ms --runs "$DIR/runs-$1" $ENTRY_FLAGS >> "$DIR/$1.log" 2>&1 &
  PID[$1]=$!
}

# shellcheck disable=SC2086
operator_command() { local c=$1; shift; "$BAMBOO" "$c" $OPERATOR_FLAGS "$@"; }

wait_ready() { # wait_ready N SECONDS
  for _ in $(seq $(($2 * 5))); do
    curl -fsS -m 1 "http://$(host_of "$1"):8402/readyz" > /dev/null 2>&1 && return 0
    sleep 0.2
  done
  log_step "i$1 was not ready within $2 s"
}

# busiest_scheduler prints the number of the instance that holds the most shard leases,
# not counting the control instances.
busiest_scheduler() {
  operator_command status --json 2>/dev/null | grep -o '"holder": "i[4-9]"' | sort | uniq -c | sort -rn | grep -o 'i[4-9]' | head -1 | tr -d i
}

# last_leader prints the highest number of a control instance whose log says that it became
# the leader.
last_leader() {
  grep -l '"leading"\|leads' "$DIR"/i[123].log 2>/dev/null | tail -1 | grep -o 'i[123]' | tr -d i
}

race_changes() { # race_changes LIMIT: two operators change the tables from the same revision
  print_tables "$1" > "$DIR/a.json"
  print_tables "${1%s}1s" > "$DIR/b.json"
  local start=$EPOCHREALTIME base
  base=$(operator_command get --json 2>/dev/null | grep -o '"revision": *[0-9]*' | head -1 | grep -o '[0-9]*$')
  operator_command apply --base "${base:-1}" "$DIR/a.json" > "$DIR/a.out" 2>&1 & local pid_a=$!
  operator_command apply --base "${base:-1}" "$DIR/b.json" > "$DIR/b.out" 2>&1 & local pid_b=$!
  wait $pid_a; local status_a=$?
  wait $pid_b; local status_b=$?
  log_step "two concurrent changes of the tables: exit $status_a and $status_b after $(awk "BEGIN {printf \"%.2f\", $EPOCHREALTIME - $start}") s"
}

kill_instance() { { kill -9 "${PID[i$1]}"; wait "${PID[i$1]}"; } 2> /dev/null; }
restart_instance() { start_instance "$1"; wait_ready "$1" 20; }

STARTED=$SECONDS
print_tables 30s > "$DIR/tables.json"
for n in $(seq 9); do start_instance "$n"; done
for n in $(seq 9); do wait_ready "$n" 20; done
for d in 1 2 3; do
  start_fake "e$d" "127.0.$d.101:8500" "$d" advice engine
  start_fake "f$d" "127.0.$d.102:8500" "$d" advice engine
  start_fake "s$d" "127.0.$d.103:8500" "$d" orders service
done
sleep 3
log_step "nine instances and nine targets are running; load starts: $RATE requests per second for $LOAD_SECONDS s"
# shellcheck disable=SC2086
"$BAMBOO" load $ENTRY_FLAGS --rate "$RATE" --duration "${LOAD_SECONDS}s" --mix 1000:85,20000:12,100000:3 \
  --output 24 --once 0.2 --limit 20s --keys "$DIR/keys" --json "$DIR/load.json" > "$DIR/load.out" 2>&1 &
LOAD_PID=$!
PID[load]=$LOAD_PID
sleep 8

race_changes 31s
log_step "kill -9 entry instance i9"
kill_instance 9; sleep 6; restart_instance 9
n=$(busiest_scheduler); n=${n:-8}
log_step "kill -9 scheduler i$n"
kill_instance "$n"; sleep 8; restart_instance "$n"
race_changes 32s
n=$(last_leader); [[ $n =~ ^[123]$ ]] || n=1
log_step "kill -9 control leader i$n"
kill_instance "$n"; sleep 8; restart_instance "$n"
race_changes 33s
log_step "pause i7 with SIGSTOP for 20 s"
kill -STOP "${PID[i7]}"; sleep 20; kill -CONT "${PID[i7]}"; wait_ready 7 20
for n in $(seq 9); do
  p=${PID[i$n]}
  start=$EPOCHREALTIME
  kill -TERM "$p"
  wait "$p"; code=$?
  log_step "planned stop of i$n with SIGTERM: exit $code after $(awk "BEGIN {printf \"%.1f\", $EPOCHREALTIME - $start}") s"
  restart_instance "$n"
done
race_changes 34s
wait $LOAD_PID
unset "PID[load]"
sleep 3
echo
cat "$DIR/load.out"
echo
count_run_keys() { # count_run_keys MIN MAX: how many keys the services ran MIN to MAX times
  cat "$DIR"/runs-s? 2>/dev/null | sort | uniq -c | awk -v a="$1" -v b="$2" '$1 >= a && $1 <= b' | wc -l
}
sent=$(wc -l < "$DIR/keys")
ran=$(count_run_keys 1 1000000)
echo "at-most-once calls: $sent sent, $((sent - ran)) not executed, $(count_run_keys 1 1) executed once, $(count_run_keys 2 1000000) executed more than once"
whole=$(grep -c ' whole$' "$DIR/keys")
false_refusals=$(awk '$2 == "refused" {print $1}' "$DIR/keys" | sort | comm -12 - <(cat "$DIR"/runs-s? 2>/dev/null | sort -u) | wc -l)
echo "of these, $whole were answered completely; $false_refusals were refused as not executed but had been executed"
held_tokens=0
for d in 1 2 3; do
  for k in 101 102; do
    t=$(curl -fsS -m 2 "http://127.0.$d.$k:8500/engine/holdings" | grep -o '"tokens":[0-9]*' | cut -d: -f2 | paste -sd+ - | bc)
    held_tokens=$((held_tokens + ${t:-0}))
  done
done
echo "KV cache still reserved on engines: $held_tokens tokens"
echo "logs and results: $DIR"
