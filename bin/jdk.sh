# Sets JAVA_HOME to an installed JDK of at least release 25. Sourced by the other scripts.

jdk_release() {
  sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null
}

jdk_suits() {
  local release
  release=$(jdk_release "$1")
  [ -n "$release" ] && [ "$release" -ge 25 ] && [ -x "$1/bin/javac" ]
}

find_jdk() {
  if [ -n "${JAVA_HOME:-}" ] && jdk_suits "$JAVA_HOME"; then
    return 0
  fi
  local java home
  java=$(readlink -f "$(command -v java)") || java=""
  home=${java%/bin/java}
  for candidate in "$home" "${home%/*}"/*; do
    if jdk_suits "$candidate"; then
      JAVA_HOME=$candidate
      export JAVA_HOME
      return 0
    fi
  done
  echo "no JDK of release 25 or later found beside the default one; set JAVA_HOME" >&2
  return 1
}

find_jdk || exit 3
