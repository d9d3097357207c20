#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review in build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for test in review/*/test.cpp; do
  number=$(basename "$(dirname "$test")")
  [ "$number" -ge 6 ] || continue
  g++ -std=c++20 -O1 -pthread "$test" -o "build-review-2/case-$number"
done
