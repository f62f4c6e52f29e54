#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the program of the
# deploy file, after the build of the deploy file. The other stand-ins are
# written in Python (standins/platform) and need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
libraries=target/bronzeward
test -f "$libraries/libbronzeward_Ledger.a" ||
  { echo "build the system as deploy/system.toml says first" >&2; exit 1; }
mkdir -p target/review
c++ -std=c++20 -O2 -I. review/6/history.cpp -o target/review/history \
  "$libraries"/libbronzeward_{Ledger,Base,schema}.a \
  -lcapnp -lkj -lcrypto -lz -lxxhash
