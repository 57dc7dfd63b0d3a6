#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, after the build of the deploy file. Uses the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review
javac -d ../target/review-3 \
    MachineRig.java PlatformRunner.java LostAfterTwoHalves.java StrandedReplica.java CrashingPart.java \
    RestartedUnderSameId.java SplitRoute.java
