#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOWORK=off GOFLAGS="${GOFLAGS:-} -mod=mod" go build -o ../bin/harness .
