#!/usr/bin/env bash
# Exits with 1 if a service is served no more after its runners have restarted, 0 if it is, 2 if it could not run.
# TROUBLE=0: the runners start again under new ids.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/RestartedUnderSameId.class ] || exit 2
exec java -Xmx128m -cp target/review-3 RestartedUnderSameId review/14/record.txt
