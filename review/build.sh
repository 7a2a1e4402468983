#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review/$name" "$source"
done
