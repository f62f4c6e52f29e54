#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review/, with
# the compiler and libraries that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for file in review/harness/*.cpp; do
  name=$(basename "$file" .cpp)
  g++ -std=c++20 -O1 -pthread -I. -c "$file" -o "target/review/$name.o" &
done
wait
for file in review/[1-5]/Case.cpp; do
  [ -e "$file" ] || continue
  number=$(basename "$(dirname "$file")")
  g++ -std=c++20 -O1 -pthread -I. "$file" target/review/{Http,Store,Engine,Fleet}.o \
    -lboost_json -o "target/review/case-$number" &
done
wait
for file in review/[1-5]/Case.cpp; do
  [ ! -e "$file" ] || [ -x "target/review/case-$(basename "$(dirname "$file")")" ]
done
