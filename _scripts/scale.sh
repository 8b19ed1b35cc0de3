#!/usr/bin/env bash
# Measures what control costs each instance, and how fast a change spreads, against
# the number of instances and of endpoint records: daemons as plain processes on
# loopback. One line for each size; docs/CAPACITY.md takes its slopes from them.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
source _scripts/processes.sh
trap 'stop_all; rm -rf "$dir"' EXIT
run() { # instances, domains, endpoints
  local set="$dir/$1-$2-$3"
  mkdir "$set"
  bin/cobaltcroft-load prepare-scale "$set" --instances "$1" --domains "$2" --endpoints "$3" >"$set/processes"
  start_listed "$set/processes" "$set/log"
  bin/cobaltcroft-load scale "$set"
  stop_all
}
run 7 1 300
run 7 1 1200
run 7 1 12000
run 20 1 1200
run 36 1 1200
run 40 4 1200
