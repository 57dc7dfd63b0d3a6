#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build of the deploy file. Uses the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review
javac -d ../target/review-2 \
    Rig.java ReplacedAndWiped.java LostAtFirstStart.java PipelinedOrders.java ReusedAddresses.java BrokenEntry.java
