#!/usr/bin/env bash
# clang-tidy over the serving tier, warnings as errors: tidy.sh BUILD-FOLDER, which holds a build of it.
# clang-tidy 14 can't read coroutines as GCC 12 and Boost 1.74 spell them: what includes them is left out, and
# printed. It also takes parameters that are moved from for ones that are only read, so that one check is off, as
# is the analyzer, which is none of the checks in .clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
objects=$build/src/CMakeFiles/nettlestand_system.dir
clean=() left_out=()
for source in src/*/*.cpp; do
  dependencies=$objects/${source#src/}.o.d
  [ -e "$dependencies" ] || continue  # of another target
  if grep -q 'boost/asio/awaitable.hpp' "$dependencies"; then left_out+=("$source"); else clean+=("$source"); fi
done
echo "clang-tidy: ${#clean[@]} files; with coroutines and left out: ${left_out[*]}"
[ ${#clean[@]} -ge 35 ]
printf '%s\n' "${clean[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet --warnings-as-errors='*' \
  --checks='-performance-unnecessary-value-param,-clang-analyzer-*' --extra-arg=-Wno-unknown-warning-option \
  --extra-arg=-Wno-ambiguous-reversed-operator 2> "$build/tidy.err" ||
  { cat "$build/tidy.err"; exit 1; }
