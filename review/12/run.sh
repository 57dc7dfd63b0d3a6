#!/usr/bin/env bash
# Exits with 1 if an acknowledged configuration does not come back, 0 if it does, 2 if the case could not run.
# TROUBLE=0: the planned replacement alone. KEEP_DISK=1: the successor keeps its disk.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/StrandedReplica.class ] || exit 2
exec java -Xmx128m -cp target/review-3 StrandedReplica review/12/record.txt
