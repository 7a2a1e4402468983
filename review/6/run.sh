#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run.
# With TROUBLE=0 the program does the same without the disruption (HasTrouble in
# review/common-2/stage.h reads it).
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program="$root/target/review-2/$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/bin/hornbeamd-platform" ] || exit 2
exec "$program" "$root" "$here"
