#!/usr/bin/env bash
# The operator raises the limit of bodies. TROUBLE=0: the limit stays, and the clients stay within it.
# No case of the review; its record is target/review/record.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review RaisedLimit target/review
