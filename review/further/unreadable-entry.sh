#!/usr/bin/env bash
# The list has an entry that breaks off, and a runner drains. TROUBLE=0: all entries can be read.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
exec java -Xmx128m -XX:+UseSerialGC -cp target/review UnreadableEntry "$here"
