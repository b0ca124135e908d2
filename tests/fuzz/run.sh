#!/usr/bin/env bash
# Fuzzes the parsers of untrusted input with clang's libFuzzer and sanitizers.
#   run.sh [RUNS]   starts from generated seeds; default 60000 runs, 0 runs until stopped.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${FUZZ_BUILD:-build-fuzz}
mkdir -p "$build/corpus"
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -I. -Iinclude \
        peers/datagram_codec.cpp peers/member.cpp peers/membership.cpp tests/fuzz/peers_fuzz.cpp -lsodium -o "$build/peers_fuzz"
c++ -std=c++20 -O1 -I. -Iinclude peers/datagram_codec.cpp peers/member.cpp tests/fuzz/peers_seeds.cpp -lsodium -o "$build/peers_seeds"
"$build/peers_seeds" "$build/corpus"
"$build/peers_fuzz" -seed=1 -artifact_prefix="$build/" -runs="${1:-60000}" -max_len=1500 -timeout=10 -print_final_stats=1 "$build/corpus"
