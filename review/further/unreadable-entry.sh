#!/usr/bin/env bash
# The list has an entry that breaks off, and a runner drains. TROUBLE=0: all entries can be read.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -d target/review ] || exit 2 # review/build.sh has not run
exec java -Xmx128m -XX:+UseSerialGC -cp target/review UnreadableEntry "$here"
