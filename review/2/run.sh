#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the same without the disruption.
exec bash "$(dirname "$0")/../run-case.sh" "$(dirname "$0")"
