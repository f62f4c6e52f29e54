#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/, with
# the compiler and libraries that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
compile() { g++ -std=c++20 -O1 -pthread -I. "$@"; }

jobs=()
for name in Http Store Engine Fleet; do
  compile -c "review/harness/$name.cpp" -o "$out/$name.o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done

jobs=()
for file in review/[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$file")")
  compile "$file" "$out"/{Http,Store,Engine,Fleet}.o -lboost_json \
    -o "$out/case-$number" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
