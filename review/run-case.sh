#!/usr/bin/env bash
# Runs the case of one folder; `timeout` ends it if it hangs, and its gateways end with it.
set -uo pipefail
folder="$(cd "$1" && pwd)"
timeout --kill-after=5 115 node "$folder/case.mjs"
status=$?
if [ "$status" -gt 1 ]; then
	exit 2
fi
exit "$status"
