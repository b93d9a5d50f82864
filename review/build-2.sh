#!/usr/bin/env bash
# Compiles the programs of the cases 6 to 10, which use nothing but the JDK, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 review/support/*.java
