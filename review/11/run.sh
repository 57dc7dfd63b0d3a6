#!/usr/bin/env bash
# Exits with 1 if an acknowledged configuration is lost, 0 if it is kept, 2 if the case could not run.
# TROUBLE=0: nothing is killed, no disk is lost. KEEP_DISK=1: the same kills, but no disk is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/LostAfterTwoHalves.class ] || exit 2
exec java -Xmx128m -cp target/review-3 LostAfterTwoHalves review/11/record.txt
