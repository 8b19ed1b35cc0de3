#!/usr/bin/env bash
# Replays the traces against real daemons and stand-ins on loopback, for our policy
# and the baselines, each with its own processes, in turn within one run.
#   _scripts/measure.sh [--quick]
# Without --quick it also writes the tables of docs/MEASUREMENTS.md.
set -euo pipefail
cd "$(dirname "$0")/.."
fleets="pronostica-andina federation"
options=()
if [ "${1:-}" = --quick ]; then
  fleets="pronostica-andina"
  options=(--length 1300ms --trace dawn_burst --trace slow_stage --trace flood --trace domain_cut)
fi
dir=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop; rm -rf "$dir"' EXIT
for fleet in $fleets; do
  mkdir "$dir/$fleet"
  bin/cobaltcroft-load prepare "$dir/$fleet" --fleet "$fleet" >"$dir/$fleet/processes"
  while read -r program settings; do
    "bin/$program" "$settings" >>"$dir/log" 2>&1 & pids+=($!)
  done <"$dir/$fleet/processes"
  bin/cobaltcroft-load measure "$dir/$fleet" --results "$dir/results" "${options[@]}"
  stop
done
if [ "${1:-}" != --quick ]; then
  bin/cobaltcroft-load report "$dir/results" docs/MEASUREMENTS.md
fi
