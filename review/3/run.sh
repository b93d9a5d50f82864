#!/usr/bin/env bash
# An entry VM is stopped as planned while its clients press. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
source bin/jdk.sh || exit 2
[ -f target/review/PlannedStop.class ] && [ -x target/image/runtime/bin/java ] || {
  echo "build with bin/image and review/build.sh first" >&2
  exit 2
}
exec "$JAVA_HOME/bin/java" -Xmx256m -cp target/review PlannedStop "review/3"
