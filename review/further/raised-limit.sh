#!/usr/bin/env bash
# The operator raises the limit of bodies. TROUBLE=0: the limit stays, and the clients stay within it.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review RaisedLimit "$here"
