#!/usr/bin/env bash
# Plays the case "parts". Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; KEEP=1 keeps the settings and logs of the processes; PARTS sets the
# number of sound parts before the fatal one.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-cases-2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first" >&2; exit 2; }
exec ../../target/review-cases-2 parts ../../target/cobaltcroftd .
