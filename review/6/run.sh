#!/bin/sh
# Exits with 1 if ONE was broken, 0 if it held, 2 if the case could not run.
# TROUBLE: 1 (both), 0 (none), restore or kill (only one of the two).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/router ] && [ -x target/review-6-drill ] || { echo "build first: the deploy file's build and review/build-2.sh" >&2; exit 2; }
exec target/review-6-drill -router target/router -record review/6/record.txt -trouble "${TROUBLE:-1}"
