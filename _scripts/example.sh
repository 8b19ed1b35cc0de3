#!/usr/bin/env bash
# Starts the stand-ins and three entry instances in two failure domains as separate
# processes, applies a sample configuration, sends sample requests of both fleets,
# prints the answers and the time line of one request, and stops everything. Exits 0
# only if each step succeeded. Builds the programs first; see 'make run'.
set -euo pipefail
cd "$(dirname "$0")/.."
example=_fixtures/example
logs=$(mktemp -d)
source _scripts/processes.sh
failed() {
  echo "example failed; the processes' logs:" >&2
  tail -n 20 "$logs"/* >&2
}
trap failed ERR
trap 'stop_all; rm -rf "$logs"' EXIT

step() { echo; echo "== $*"; }

step "stand-ins, and instances sala-a-1, sala-a-2, sala-b-1"
bin/cobaltcroft-standin "$example/site.json" >"$logs/standin" 2>&1 & pids+=($!)
for name in sala-a-1 sala-a-2 sala-b-1; do
  bin/cobaltcroft settings check "$example/$name.json"
  bin/cobaltcroftd "$example/$name.json" >"$logs/$name" 2>&1 & pids+=($!)
done
export COBALTCROFT_OPERATORS=127.0.0.1:17422 COBALTCROFT_CALLERS=127.0.0.1:17421 COBALTCROFT_TOKEN=example-operators
for _ in $(seq 100); do
  if bin/cobaltcroft status 2>/dev/null | grep -c ' live .* true$' | grep -qx 3; then break; fi
  sleep 0.1
done

step "apply the configuration over the operators' face"
bin/cobaltcroft apply -f "$example/configuration.json" --author example --wait
bin/cobaltcroft history
sleep 0.5

step "a bulletin for a cooperative (Pronóstica Andina), streamed"
bin/cobaltcroft send bulletin --organisation cooperativa-huila --priority routine --stream --request-id example-bulletin --input '{"tokens": 5, "question": "frost before dawn?"}'
step "a flood alert, at most once, on a ticket"
bin/cobaltcroft send flood-alert --organisation river-authority --priority warning --not-repeatable --with-ticket --request-id example-alert --input '{"river": "Magdalena"}'
step "a contract review (Federation), at another instance"
bin/cobaltcroft send contract-review --callers 127.0.0.1:17441 --organisation gym-kallithea --input '{"clause": 12}'
step "a renewal, at most once, sent twice to two instances: one run, one answer"
bin/cobaltcroft send renewal --organisation gym-rafina --not-repeatable --request-id example-renewal --input '{"member": 7}'
bin/cobaltcroft send renewal --callers 127.0.0.1:17441 --organisation gym-rafina --not-repeatable --request-id example-renewal --input '{"member": 7}'

step "the time line of the bulletin, merged over all instances"
bin/cobaltcroft timeline --request example-bulletin

step "status"
bin/cobaltcroft status

step "planned stop"
for pid in "${pids[@]:1}"; do kill -TERM "$pid"; done
for pid in "${pids[@]:1}"; do wait "$pid"; done
kill -TERM "${pids[0]}"
wait "${pids[0]}"
pids=()
echo "all processes stopped with exit code 0"
