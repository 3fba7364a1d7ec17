#!/usr/bin/env bash
# Measures the cost of control work for an entry and an agent in fleets of four sizes,
# with real processes on loopback and no load, and prints a linear extrapolation.
set -uo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
base=${CAPACITY_PORT_BASE:-25000}
export PATH="$PWD/bin:$PATH"
pids=()

stop_all() {
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  wait 2>/dev/null
  pids=()
}
trap 'stop_all; rm -rf "$dir"' EXIT
trap 'exit 130' INT TERM

for size in ${CAPACITY_SIZES:-"6:20" "20:70" "60:210" "76:266"}; do
  entries=${size%:*} agents=${size#*:} fleet="$dir/$size"
  mkdir -p "$fleet"
  siskinlab capacity layout --dir "$fleet" --base "$base" --entries "$entries" --agents "$agents" || exit 1
  : >"$fleet/pids"
  while IFS=$'\t' read -r name command; do
    # shellcheck disable=SC2086 # the command is split into words
    $command >/dev/null 2>"$fleet/$name.err" &
    pids+=($!)
    metrics=$(sed -n 's/^metrics = //p' "$fleet/settings/$name.ini" 2>/dev/null)
    case $name in
      *-platform | *-endpoint) ;;
      *-entry-*) echo "entry $! $metrics" >>"$fleet/pids" ;;
      *) echo "agent $! $metrics" >>"$fleet/pids" ;;
    esac
  done <"$fleet/processes"
  siskinlab demo instances --dir "$fleet" || exit 1
  for try in $(seq 40); do
    SISKINCTL_KEY=demo-operator-ledgerwise siskinctl apply --entry "$(sed -n 's/^grpc = //p' "$fleet/settings/ledgerwise-entry-1.ini")" examples/ledgerwise/{deployment,services,callers}.ini >"$fleet/apply" 2>&1 && break
    [ "$try" -lt 40 ] || { cat "$fleet/apply"; exit 1; }
    sleep 0.5
  done
  siskinlab demo ready --dir "$fleet" || exit 1
  sleep 10
  siskinlab capacity measure --entries "$entries" --agents "$agents" --pids "$fleet/pids" --out "$dir/samples" --span "${CAPACITY_SPAN:-15s}" || exit 1
  echo "measured $entries entries, $agents agents" >&2
  stop_all
done
siskinlab capacity report --out "$dir/samples"
