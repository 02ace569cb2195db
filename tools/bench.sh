#!/usr/bin/env bash
# Runs all benchmarks and experiments and prints their figures. No test depends
# on them. MARJORAMHALL_BENCH_FILTER selects Google Benchmark cases.
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
