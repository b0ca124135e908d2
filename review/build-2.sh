#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2. Needs g++ alone.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
for n in 4 5 6 7 8; do
  [ -f "review/$n/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/lib-2 "review/$n/case.cpp" review/lib-2/harness.cpp \
    -o "target/review-2/case-$n" || exit 1
done
