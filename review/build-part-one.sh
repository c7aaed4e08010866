#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
classpath=$(ls target/lib/*.jar | LC_ALL=C sort | paste -sd:)
own=platform/src/test/java/org/limpetvale/platform/standin
mkdir -p target/review
for each in ${CASES:-review/[1-5]}; do
  [ -f "$each/Case.java" ] || continue
  target/jdk/bin/javac -nowarn -d "target/review/$(basename "$each")" -cp "$classpath" \
    "$own"/{ConnectionAcceptor,PortAllocator,RawHttpClient,StandInStore,StandInDutyService,FaultProxy}.java \
    review/kit/*.java "$each"/*.java
done
