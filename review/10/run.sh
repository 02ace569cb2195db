#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/marjoramhall ] || [ ! -x build/review-2/standins ]; then
  echo "build the program and review/build-2.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
TROUBLE="${TROUBLE:-1}" timeout 118 build/review-2/standins rotation review/10 "$temporary"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
