#!/usr/bin/env bash
# Exits with 1 if the model's requests are served less than a quarter as often as all, 0 if not, 2 if it could not run.
# TROUBLE=0: the other writer adds nothing.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/SecondWriter.class ] || exit 2
exec java -Xmx128m -cp target/review-3 SecondWriter review/15/record.txt
