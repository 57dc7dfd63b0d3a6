#!/usr/bin/env bash
# The operator sends two configurations that are not valid. TROUBLE=0: both are valid.
# No case of the review; its record is target/review/record.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review InvalidConfiguration target/review
