#!/usr/bin/env bash
# Builds the stand-ins of the scripts: review/_cases, with the project's own stand-ins of platform/platformtest.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o bin/review-cases ./review/_cases
