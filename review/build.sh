#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need a C++20 compiler and nothing
# else. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra review/standins/*.cc -o target/review/standins
