#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the harness reads it.
# Needs the build of deploy/system.toml and review/build.sh.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/sycamoreline-platform ] || exit 2
exec review/bin/harness forgotten-departure review/5
