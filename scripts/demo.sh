#!/usr/bin/env bash
# The demo runs both deployments as real processes on loopback, injects faults and
# checks the invariants. It stops every process that it started when it exits.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$PWD
dir=${DEMO_DIR:-$root/demo-out}
base=${DEMO_PORT_BASE:-21000}
duration=${DEMO_SECONDS:-36}
seed=${DEMO_SEED:-}               # if set, draws a schedule of faults that replaces scripts/demo.faults
export PATH="$root/bin:$PATH"
declare -A pid=()

stop_all() {
  trap - EXIT INT TERM
  for p in "${pid[@]}"; do kill -TERM "$p" 2>/dev/null; done
  sleep 0.5
  for p in "${pid[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME COMMAND... starts a process with its output in the log folder.
start() {
  local name=$1
  shift
  "$@" >>"$dir/logs/$name.out" 2>>"$dir/logs/$name.err" &
  pid[$name]=$!
}

# start_all FILE starts the processes of a file of "name<tab>command" lines.
start_all() {
  local name command
  while IFS=$'\t' read -r name command; do
    # shellcheck disable=SC2086 # the command is split into words
    start "$name" $command
  done <"$1"
}

# carry_out VERB NAME injects or ends one fault.
carry_out() {
  local verb=$1 name=${2-} command
  case $verb in
  kill)
    kill -KILL "${pid[$name]}"
    wait "${pid[$name]}" 2>/dev/null
    unset "pid[$name]"
    ;;
  stop) kill -TERM "${pid[$name]}" ;;
  start)
    [ -z "${pid[$name]-}" ] || wait "${pid[$name]}"
    command=$(awk -F'\t' -v name="$name" '$1 == name { print $2 }' "$dir/processes")
    # shellcheck disable=SC2086 # the command is split into words
    start "$name" $command
    ;;
  pause) kill -STOP "${pid[$name]}" ;;
  resume) kill -CONT "${pid[$name]}" ;;
  outage | recover) siskinlab demo "$verb" --dir "$dir" ;;
  *)
    echo "unknown verb $verb" >&2
    exit 1
    ;;
  esac
}

# faults FILE carries out a schedule of "second verb name" lines.
faults() {
  local at verb name now
  while read -r at verb name; do
    case $at in '' | \#*) continue ;; esac
    now=$((SECONDS - began))
    [ "$at" -le "$now" ] || sleep $((at - now))
    echo "  $at s: $verb ${name:-the key-value services}"
    carry_out "$verb" $name
  done <"$1"
}

rm -rf "$dir"
mkdir -p "$dir/logs"
siskinlab demo layout --dir "$dir" --base "$base" || exit 1
schedule=$root/scripts/demo.faults
if [ -n "$seed" ]; then
  schedule=$dir/faults
  siskinlab demo faults --dir "$dir" --seed "$seed" --duration "${duration}s" >"$schedule" || exit 1
fi
start_all "$dir/processes"
echo "started ${#pid[@]} processes"
siskinlab demo instances --dir "$dir" || exit 1
# A new entry accepts changes once it receives messages from entries in most failure domains.
for d in ledgerwise batumi; do
  grpc=$(sed -n "s/^grpc = //p" "$dir/settings/$d-entry-1.ini")
  for try in $(seq 20); do
    SISKINCTL_KEY="demo-operator-$d" siskinctl apply --entry "$grpc" "examples/$d" >"$dir/logs/apply-$d" 2>&1 && break
    [ "$try" -lt 20 ] || { cat "$dir/logs/apply-$d"; exit 1; }
    sleep 0.3
  done
done
siskinlab demo ready --dir "$dir" || exit 1
echo "configuration in force everywhere"
start_all "$dir/trainers"

began=$SECONDS
siskinlab demo load --dir "$dir" --duration "${duration}s" &
load=$!
pid[load]=$load
faults "$schedule"
wait "$load"
unset 'pid[load]'
for d in ledgerwise batumi; do
  kill -TERM "${pid[$d-trainer]}"
  wait "${pid[$d-trainer]}"
done
siskinlab demo judge --dir "$dir"
verdict=$?
[ $verdict = 0 ] && echo "every promise held" || echo "A PROMISE WAS BROKEN"
exit $verdict
