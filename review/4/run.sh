#!/usr/bin/env bash
# An order to take a zone back waits at a frozen machine and undoes a later evacuation. TROUBLE=0: nothing is frozen.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review StaleOrder "$here"
