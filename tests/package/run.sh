#!/usr/bin/env bash
# Installs the build into a temporary folder, and builds and runs consumers of it: the examples by CMake's package
# and by pkg-config, and sources that must not compile. Usage: run.sh SOURCES BUILD STANDIN_SERVER
set -euo pipefail
sources=$1 build=$2 standin=$3
prefix=$(mktemp -d)
servers=()
cleanup() {
  for server in "${servers[@]}"; do kill "$server" 2>/dev/null || true; done
  rm -rf "$prefix"
}
trap cleanup EXIT
cmake --install "$build" --prefix "$prefix" >/dev/null

cmake -S "$sources/examples/embedded" -B "$prefix/examples" -DCMAKE_PREFIX_PATH="$prefix" \
      -DCMAKE_CXX_FLAGS="-Wall -Wextra -Wpedantic -Werror" >/dev/null
cmake --build "$prefix/examples" -j2 >/dev/null

# Two stand-in servers, each on a port that the kernel assigns.
addresses=()
for name in s0 s1; do
  "$standin" --name $name --port 0 >"$prefix/$name" 2>&1 &
  servers+=($!)
  for _ in $(seq 500); do
    port=$(grep -oE '127\.0\.0\.1:[0-9]+|port [0-9]+' "$prefix/$name" | grep -oE '[0-9]+$' | head -1 || true)
    [ -n "$port" ] && break
    sleep 0.02
  done
  [ -n "$port" ] || { cat "$prefix/$name"; exit 1; }
  addresses+=("127.0.0.1:$port")
done
"$prefix/examples/grades" "${addresses[@]}"
"$prefix/examples/grades_asio" "${addresses[@]}"
"$prefix/examples/grades_host" "${addresses[@]}"
code=0; "$prefix/examples/grades" nowhere 2>"$prefix/error" || code=$?
[ "$code" = 2 ] && grep -q "servers\[0\].address: 'nowhere' is not an address and a port" "$prefix/error"

export PKG_CONFIG_PATH="$prefix/lib/pkgconfig:$(echo "$prefix"/lib/*/pkgconfig)"
c++ -std=c++20 $(pkg-config --cflags nettlestand) "$sources/examples/embedded/grades.cpp" \
    $(pkg-config --libs nettlestand) -o "$prefix/by_pkg_config"
"$prefix/by_pkg_config" "${addresses[@]}"

# Each public header compiles alone; those of the library require only the standard library.
for header in function gateway http options drain export version; do
  echo "#include \"nettlestand/$header.h\"" | c++ -std=c++20 -Wall -Werror -fsyntax-only -x c++ -I"$prefix/include" -
done
[ -z "$(grep -lE '#include *<boost' "$prefix"/include/nettlestand/{function,gateway,http,options,drain,export,version}.h)" ]

# Incompatible settings of Asio are rejected when the application is compiled, rather than accepted silently.
for setting in BOOST_ASIO_DISABLE_THREADS BOOST_ASIO_ENABLE_HANDLER_TRACKING BOOST_ASIO_DISABLE_EPOLL; do
  if echo '#include "nettlestand/asio.h"' |
     c++ -std=c++20 -D$setting -fsyntax-only -x c++ -I"$prefix/include" - 2>"$prefix/error"; then
    echo "$setting was accepted"; exit 1
  fi
  grep -q "nettlestand: the library was built without this setting of Boost.Asio" "$prefix/error"
done
# Another version of Boost is rejected when the application is linked.
cat >"$prefix/other.cpp" <<'CODE'
#include <boost/version.hpp>
#undef BOOST_VERSION
#define BOOST_VERSION 109900
#include "nettlestand/asio.h"
int main() {
  boost::asio::io_context loop;
  nettlestand::Error error;
  return nettlestand::open_on(loop, {}, error) != nullptr;
}
CODE
if c++ -std=c++20 "$prefix/other.cpp" $(pkg-config --cflags --libs nettlestand) -o "$prefix/other" 2>"$prefix/error"; then
  echo "another version of Boost was accepted"; exit 1
fi
grep -q nettlestand_built_with_boost_109900 "$prefix/error"
echo "the package is valid"
