#!/usr/bin/env bash
# An order to take a zone back waits at a frozen machine and undoes a later evacuation. TROUBLE=0: nothing is frozen.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec java -Xmx128m -XX:+UseSerialGC -cp target/review StaleOrder "$here"
