#!/usr/bin/env bash
# Lists the hand-written C++ files that the formatter and the linter check.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cc' '*.h' |
  grep -v '\.pb\.' | while read -r it; do [ -f "$it" ] && echo "$it"; done
