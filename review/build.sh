#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases with scripts into build-review/. The sidecar
# itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=build-review
mkdir -p "$folder"
flags=(-std=c++20 -O1 -pthread -Wall -Wextra)
objects=()
for source in review/rig/*.cpp; do
  object="$folder/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
for driver in review/[1-9]/case.cpp; do
  number=$(basename "$(dirname "$driver")")
  g++ "${flags[@]}" "$driver" "${objects[@]}" -o "$folder/case-$number"
done
