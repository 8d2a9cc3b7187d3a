#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They are plain scripts beside these: nothing has to be compiled. Checks that the gateway is built.
cd "$(dirname "$0")/.." || exit 1
for script in review/stand-ins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
	if [ -e "$script" ]; then node --check "$script" || exit 1; fi
done
test -e target/cassiaflow-gateway.mjs || { echo 'build the gateway first, as deploy/system.toml says' >&2; exit 1; }
