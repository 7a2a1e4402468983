#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the disruption is left out. Writes record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bin/hornbeamd-platform ] || [ ! -x target/review/5 ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
timeout -k 2 117 target/review/5
code=$?
grep "result:" review/5/record.txt
[ "$code" -le 1 ] || code=2
exit "$code"
