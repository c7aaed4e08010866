#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 9 start. Run it after the build of the deploy
# file (bin/build-deploy); it needs no network and writes to review/standins-2/target only.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
out="$here/standins-2/target"
javac=$(readlink -f "$root/target/jdk")/bin/javac
standin="$root/platform/src/test/java/org/limpetvale/platform/standin"
rm -rf "$out"
mkdir -p "$out/sources" "$out/classes"
for source in "$here"/standins-2/*.java.in "$here"/[6-9]/*.java.in; do
  [ -e "$source" ] || continue
  name=$(basename "$source" .in)
  cp "$source" "$out/sources/$name"
done
"$javac" -nowarn -proc:none -cp "$root/target/lib/*" -d "$out/classes" \
  "$standin/StandInStore.java" "$standin/StandInDutyService.java" "$standin/PortAllocator.java" \
  "$out"/sources/*.java
