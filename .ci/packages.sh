#!/usr/bin/env bash
# Whether `packages` in deploy/system.toml brings all that a clean build needs: every header and library that the
# build opened, and every tool that it ran, has to belong to one of the listed packages or to what these depend on.
set -euo pipefail
cd "$(dirname "$0")/.."
listed=$(sed -n 's/^packages *= *\[\(.*\)\]/\1/p' deploy/system.toml | tr -d '",')
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
options=$(sed -n 's/^build = "cmake -S \. -B target \(.*\) && .*/\1/p' deploy/system.toml)
cmake -S . -B "$build" $options -DCMAKE_EXE_LINKER_FLAGS=-Wl,--trace > /dev/null
cmake --build "$build" -j"${JOBS:-$(nproc)}" --target nettlestand > "$build/log"
{
  find "$build" -name '*.d' -exec cat {} + | tr -s ' \\\n' '\n'
  grep -oE '(/usr)?/lib[^ ()]*' "$build/log"
  for tool in cmake make c++ g++ as ld ar ranlib sh pkg-config; do command -v "$tool" || true; done
} | grep -E '^(/usr|/lib)' | sort -u | while read -r file; do realpath -q -e "$file" || true; done | sort -u > "$build/files"
# Files below /lib may be registered without /usr in front.
{ cat "$build/files"; sed -n 's#^/usr/\(lib\|bin\)#/\1#p' "$build/files"; } | { xargs dpkg-query -S 2>/dev/null || true; } |
  sed 's/: \/.*//; s/:[a-z0-9]*\(,\|$\)/\1/g' | tr -d ' ' | tr ',' '\n' | sort -u > "$build/used"
{
  apt-cache depends --recurse --no-recommends --no-suggests --no-conflicts --no-breaks --no-replaces \
    --no-enhances $listed | grep -E '^[a-z0-9]' | sed 's/:.*//'
  dpkg-query -Wf '${Essential} ${Package}\n' | sed -n 's/^yes //p'
} | sort -u > "$build/brought"
missing=$(comm -23 "$build/used" "$build/brought")
echo "files opened: $(wc -l < "$build/files"), of $(wc -l < "$build/used") packages"
if [ -n "$missing" ]; then
  echo "deploy/system.toml lists no package that brings: $missing"
  exit 1
fi
