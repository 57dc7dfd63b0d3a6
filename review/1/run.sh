#!/usr/bin/env bash
# The last API key is taken away. TROUBLE=0: one key stays.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review LastKey "$here"
