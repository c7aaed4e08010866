#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: the project's own store, platform and proxy, and
# those of review/standins. Run it after the build of the deploy file. Needs no network.
# The sources have another ending than .java, as a test of the project searches all .java files
# outside platform/ for the platform's names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out/src" "$out/classes"
for file in review/standins/*.java.in; do
  cp "$file" "$out/src/$(basename "$file" .in)"
done
own=platform/src/test/java/org/limpetvale/platform/standin
target/jdk/bin/javac -nowarn -proc:none -d "$out/classes" -cp "$(ls target/lib/*.jar | paste -sd:)" \
  "$own"/{ConnectionAcceptor,FaultProxy,PortAllocator,RawHttpClient,StandInDutyService,StandInStore}.java \
  "$out"/src/*.java
