#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of review/6 to review/10 start.
# The program itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness-2
