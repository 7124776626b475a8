#!/bin/sh
# Exits with 1 if ONE was broken, 0 if it held, 2 if the case could not run.
# TROUBLE: 1 (a rolling restart, then the restore), 0 (the rolling restart only), restore (the restore only), kill (the restore while all processes
# are killed) or kill-only.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/router ] && [ -x target/review-6-drill ] || { echo "build first: the deploy file's build and review/build-2.sh" >&2; exit 2; }
exec target/review-6-drill -router target/router -record review/6/record.txt -trouble "${TROUBLE:-1}"
