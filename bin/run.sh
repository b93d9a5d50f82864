# Runs a main class of a built module. Sourced by the scripts that start processes.

run_java() {
  local module=$1 main=$2
  shift 2
  local jar="$root/cowslipdale-$module/target/cowslipdale-$module-0.1.0.jar"
  if [ ! -f "$jar" ]; then
    echo "not built yet: run bin/build first" >&2
    exit 1
  fi
  exec "$JAVA_HOME/bin/java" -XX:+UseSerialGC -Xshare:auto -XX:+IgnoreUnrecognizedVMOptions --sun-misc-unsafe-memory-access=allow ${COWSLIPDALE_JAVA_OPTIONS:-$java_options} \
    -cp "$jar:$(cat "$root/cowslipdale-$module/target/classpath")" "$main" "$@"
}
