#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(basename "$(cd "$(dirname "$0")" && pwd)")
cd "$(dirname "$0")/../.." || exit 2
classpath=$(ls target/lib/*.jar | LC_ALL=C sort | paste -sd:)
[ -d "target/review/$here" ] || exit 2
exec target/jdk/bin/java -Xmx256m -XX:+UseSerialGC -cp "target/review/$here:$classpath" Case "review/$here"
