#!/usr/bin/env bash
# Builds the programs of the cases review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3/project -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3/project --target standins -j8
cmake -S review/standin-3 -B target/review-3/cases -G Ninja \
  -DCMAKE_BUILD_TYPE=Release -DSNIPEWALK_ROOT="$PWD" \
  -DSNIPEWALK_BUILD="$PWD/target/review-3/project"
cmake --build target/review-3/cases -j8
