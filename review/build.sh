#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts start; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p .
