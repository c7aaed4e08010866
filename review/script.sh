#!/usr/bin/env bash
# script.sh CASE CLASS: runs a script's class from the repository's root. See review/build.sh.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/review/classes ] || [ ! -f target/entry.args ]; then
  echo "first the build of the deploy file, then review/build.sh" >&2
  exit 2
fi
exec target/jdk/bin/java -Xmx512m -cp "target/review/classes:$(ls target/lib/*.jar | paste -sd:)" "$2" "review/$1"
