#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build.sh. Exits with 1 if the rule was broken,
# 0 if it held, 2 if it could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/cobaltcroftd bin/review-cases; do
  [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh" >&2; exit 2; }
done
exec bin/review-cases crashed-engine target/cobaltcroftd review/3/record.txt
