#!/usr/bin/env bash
# Installs the packages of tools/packages.txt that are missing. Needs root only
# when something is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q '^install ok installed' ||
    missing+=("$name")
done <tools/packages.txt
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends \
    "${missing[@]}"
fi
