#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6, 7, 9 and 10 start, into
# build/review-2. Needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
"${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra review/standins-2/*.cc \
  -o build/review-2/standins
