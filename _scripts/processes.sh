# Sourced by the scripts that start processes: keeps their ids, and ends them.
pids=()

# start_listed FILE LOG starts the processes that FILE lists, a program of bin/ and
# its settings file in each line.
start_listed() {
  local program settings
  while read -r program settings; do
    "bin/$program" "$settings" >>"$2" 2>&1 & pids+=($!)
  done <"$1"
}

stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
