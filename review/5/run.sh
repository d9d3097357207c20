#!/usr/bin/env bash
# Plays the case once: 1 the rule was broken, 0 it held, 2 it could not run. TROUBLE=0 leaves out the
# disruption. Build with the command of deploy/system.toml and review/build.sh first.
set -euo pipefail
cd "$(dirname "$0")/../.."
driver=build-review/case-5
if [ ! -x "$driver" ] || [ ! -x target/platform/crocusdoor-sidecar ]; then
  echo "build the sidecar and review/build.sh first" >&2
  exit 2
fi
exec timeout 120 "$driver" review/5/record.txt
