#!/bin/sh
# Builds the programs of the scripts of review/6 to review/10 into
# target/review-2. They need the C++ library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/*/main.cc; do
  folder=$(dirname "$source")
  case $(basename "$folder") in
    6 | 7 | 8 | 9 | 10) ;;
    *) continue ;;
  esac
  g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers \
    -I"$root/review/common-2" "$source" \
    -o "$root/target/review-2/$(basename "$folder")" -pthread
done
