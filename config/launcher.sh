#!/bin/sh
# The build appends the jar to this script in one file; exec replaces the shell, so only one process runs.
exec java ${CHIVEHOLLOW_JAVA_OPTS:--XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss512k} -jar "$0" "$@"
exit 1
