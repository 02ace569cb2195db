#!/usr/bin/env bash
# Runs the fault soak: the seeds of tests/soak_seeds.txt, then fresh ones.
# usage: tools/soak.sh BUILD_FOLDER SECONDS_A_SEED FRESH_SEEDS
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1 seconds=$2 fresh=$3
folder=$(mktemp -d)
failed=0
play() {
  "$build/marjoramhall-lab" forward-soak "$build/marjoramhall" \
    "$folder/$1" "$seconds" "$1" | tee "$folder/result" || failed=1
  if grep -qE '^(BROKEN|FAULT|cannot)' "$folder/result"; then
    echo "logs of seed $1: $folder/$1"
  fi
}
while read -r seed _; do
  case "$seed" in '' | '#'*) continue ;; esac
  play "$seed"
done <tests/soak_seeds.txt
for ((i = 0; i < fresh; ++i)); do
  play "$((RANDOM * 32768 + RANDOM))"
done
[ "$failed" -eq 0 ] && rm -rf "$folder"
exit "$failed"
