#!/usr/bin/env bash
# Runs the tests of all given packages repeatedly, each round with a new seed, for SECONDS_TO_RUN seconds. On a failure it
# prints the seed and stops.
# Usage: scripts/soak.sh SECONDS_TO_RUN CHECKS PACKAGE...
set -uo pipefail
cd "$(dirname "$0")/.."
limit=$1 checks=$2
shift 2
started=$SECONDS rounds=0
while ((SECONDS - started < limit)); do
  seed=$((RANDOM * 32768 + RANDOM + 1))
  if ! out=$(go test -race -count=1 "$@" -args -rapid.checks="$checks" -rapid.seed="$seed" -rapid.nofailfile 2>&1); then
    echo "$out"
    echo "soak: failed after $rounds complete rounds; seed $seed, checks $checks"
    exit 1
  fi
  rounds=$((rounds + 1))
done
echo "soak: $rounds rounds of $checks checks in $((SECONDS - started)) s, no failure"
