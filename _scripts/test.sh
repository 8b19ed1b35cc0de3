#!/usr/bin/env bash
# All tests; arguments go to go test. Those that KNOWN-RED.txt lists are left out of the run,
# printed, and then run alone: each must still fail, in its own right. One that passes must be
# taken off the list. A line is
#   package path | full text of the spec | cause | issue
# and # begins a comment. More than three lines fail.
#   _scripts/test.sh [-race]
set -euo pipefail
cd "$(dirname "$0")/.."
list=KNOWN-RED.txt
most=3

trim() { sed 's/^[[:space:]]*//; s/[[:space:]]*$//' <<<"$1"; }
# quoted makes a regular expression of a spec's text, for Ginkgo: the suite's name stands
# before it there.
quoted() { printf ' %s$' "$(sed 's/[][\.*^$+?(){}|]/\\&/g' <<<"$1")"; }

wrong() {
  echo "$list: $*" >&2
  exit 1
}

packages=() specs=() notes=()
if [ -f "$list" ]; then
  while IFS= read -r line || [ -n "$line" ]; do
    line=$(trim "$line")
    case $line in '' | '#'*) continue ;; esac
    [ "$(tr -cd '|' <<<"$line" | wc -c)" -eq 3 ] || wrong "not 'package | spec | cause | issue': $line"
    IFS='|' read -r path spec cause issue <<<"$line"
    path=$(trim "$path") spec=$(trim "$spec") cause=$(trim "$cause") issue=$(trim "$issue")
    if [ -z "$path" ] || [ -z "$spec" ] || [ -z "$cause" ] || [ -z "$issue" ]; then
      wrong "an empty field: $line"
    fi
    path=$(go list "$path") || wrong "no such package: $line"
    [ "$(wc -l <<<"$path")" -eq 1 ] || wrong "more than one package: $line"
    packages+=("$path") specs+=("$spec") notes+=("$cause, $issue")
  done <"$list"
fi

if [ ${#packages[@]} -eq 0 ]; then
  exec go test "$@" ./...
fi
[ ${#packages[@]} -le $most ] || wrong "${#packages[@]} lines; $most at most"

out=$(mktemp)
trap 'rm -f "$out"' EXIT
failed=0

# A listed text must name exactly one spec, or the run would leave out others, or none.
for n in "${!packages[@]}"; do
  if ! go test "$@" "${packages[n]}" -v -ginkgo.dry-run -ginkgo.no-color -ginkgo.focus "$(quoted "${specs[n]}")" >"$out" 2>&1; then
    cat "$out" >&2
    wrong "${packages[n]} could not be asked for: ${specs[n]}"
  fi
  grep -q '^Ran 1 of ' "$out" || wrong "this does not name exactly one spec of ${packages[n]}: ${specs[n]}"
done

# Everything but what is listed.
mapfile -t others < <(go list ./... | grep -vxF -f <(printf '%s\n' "${packages[@]}"))
go test "$@" "${others[@]}" || failed=1
for package in $(printf '%s\n' "${packages[@]}" | sort -u); do
  skips=()
  for n in "${!packages[@]}"; do
    [ "${packages[n]}" != "$package" ] || skips+=(-ginkgo.skip "$(quoted "${specs[n]}")")
  done
  go test "$@" "$package" "${skips[@]}" || failed=1
done

# What is listed, each alone. It is red only if the spec itself fails.
for n in "${!packages[@]}"; do
  echo "known red: ${packages[n]}: ${specs[n]} (${notes[n]})"
  if go test "$@" -count=1 "${packages[n]}" -ginkgo.no-color -ginkgo.focus "$(quoted "${specs[n]}")" >"$out" 2>&1; then
    echo "known red: passes; take it off the list"
    failed=1
  elif grep -q -- '-- 0 Passed | 1 Failed' "$out" && ! grep -q 'DATA RACE' "$out"; then
    echo "known red: still fails"
  else
    cat "$out"
    echo "known red: fails otherwise than by this spec"
    failed=1
  fi
done
exit $failed
