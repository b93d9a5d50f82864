#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of review/ start. Needs the JDK only; run it after the build
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/jdk.sh
rm -rf target/review
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/*.java
