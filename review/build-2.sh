#!/usr/bin/env bash
# Compiles the cases 6 to 9 and all stand-ins that they start to dist/review; to be run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npx tsc -p review/tsconfig.json --noEmit false
