#!/usr/bin/env bash
# Runs all benchmarks and experiments and prints their results. Exits with 1 if
# one fails or takes longer than 10 minutes. No test depends on the results.
# MARJORAMHALL_BENCH_FILTER is a regular expression that selects benchmarks.
#
#   tools/bench.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
for it in "$1"/*_bench; do
  echo "== $(basename "$it")"
  timeout 600 "$it" --benchmark_filter="${MARJORAMHALL_BENCH_FILTER:-.}" || exit 1
done
echo "== request experiment"
timeout 600 "$1/marjoramhall-lab" request-experiment || exit 1
echo "== flow experiment"
timeout 600 "$1/marjoramhall-lab" flow-experiment || exit 1
