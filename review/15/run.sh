#!/usr/bin/env bash
# Exits with 1 if the added route is served less than a quarter as often as the first one, 0 if not, 2 if it could not run.
# TROUBLE=0: the added route names the plain service only.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/SplitRoute.class ] || exit 2
exec java -Xmx128m -cp target/review-3 SplitRoute review/15/record.txt
