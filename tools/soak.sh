#!/usr/bin/env bash
# Runs the soak test with the seeds in tests/soak_seeds.txt, and then with
# FRESH_SEEDS random ones. Keeps the logs and exits with 1 if a seed failed that
# KNOWN-RED.txt does not list as "soak seed N".
#
#   tools/soak.sh BUILD_FOLDER SECONDS_A_SEED FRESH_SEEDS
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1 seconds=$2 fresh=$3
folder=$(mktemp -d)
failed=0
# Findings that KNOWN-RED.txt lists, by seed: those of one reason that a VM has
# logged, and one state of the store. Any other finding of the seed is a failure.
known_finding() {
  case "$1" in
    1) echo '^BROKEN a new flow for .* was refused by .*, the store evacuates:( [ab])?; reason: overload$' ;;
  esac
}
is_known_red() {
  local finding findings
  finding=$(known_finding "$1")
  findings=$(grep -E '^(BROKEN|FAULT|cannot)' "$folder/result")
  grep -q "soak seed $1:" KNOWN-RED.txt && [ -n "$finding" ] &&
    [ -n "$findings" ] && ! grep -qvE "$finding" <<<"$findings"
}
run_seed() {
  "$build/marjoramhall-lab" forward-soak "$build/marjoramhall" \
    "$folder/$1" "$seconds" "$1" | tee "$folder/result" || {
    if is_known_red "$1"; then
      echo "known red: seed $1"
    else
      failed=1
    fi
  }
  if grep -qE '^(BROKEN|FAULT|cannot)' "$folder/result"; then
    echo "logs of seed $1: $folder/$1"
  fi
}
while read -r seed _; do
  case "$seed" in '' | '#'*) continue ;; esac
  run_seed "$seed"
done <tests/soak_seeds.txt
for ((i = 0; i < fresh; ++i)); do
  run_seed "$((RANDOM * 32768 + RANDOM))"
done
[ "$failed" -eq 0 ] && rm -rf "$folder"
exit "$failed"
