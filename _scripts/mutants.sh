#!/usr/bin/env bash
# Shows that the proofs prove something: takes one mechanism after the other out of a
# scratch copy (_fixtures/mutants/*.patch) and runs the tests that its first line
# names. Each must fail. Exits 1 if one passes or a patch no longer applies.
#   _scripts/mutants.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -co --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
survived=0
names=("$@")
[ ${#names[@]} -gt 0 ] || names=($(cd _fixtures/mutants && ls *.patch | sed 's/\.patch$//'))
for name in "${names[@]}"; do
  file="$PWD/_fixtures/mutants/$name.patch"
  arguments=$(sed -n '1s/^# test: //p' "$file")
  if ! (cd "$scratch" && patch -s -p1 --no-backup-if-mismatch <"$file" >/dev/null); then
    echo "mutant=$name result=does_not_apply"
    survived=1
    continue
  fi
  if ! (cd "$scratch" && go build ./...) >"$scratch/out" 2>&1; then
    echo "mutant=$name result=does_not_build"
    survived=1
  elif (cd "$scratch" && eval "go test -count=1 $arguments") >"$scratch/out" 2>&1; then
    echo "mutant=$name result=survived"
    survived=1
  else
    failed=$(sed 's/\x1b\[[0-9;]*m//g' "$scratch/out" | grep -c '^ *\[FAIL\]')
    echo "mutant=$name result=found failed_tests=$failed"
  fi
  (cd "$scratch" && patch -s -R -p1 --no-backup-if-mismatch <"$file" >/dev/null)
done
exit $survived
