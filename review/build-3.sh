#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11, 13 and 14 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/stage ./review/testdata/stage
