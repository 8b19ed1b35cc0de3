#!/usr/bin/env bash
# Builds the stand-ins and clients of the second review's cases, to target/review-cases-2.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-cases-2 ./review/_cases-2
