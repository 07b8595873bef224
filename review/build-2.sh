#!/bin/sh
# Builds the programs that the scripts of this review start, with the project's
# own stand-ins, into target/review-2.
set -e
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_snipewalk_INCLUDE="$PWD/review/standin-2/scenarios.cmake" > /dev/null
cmake --build target/review-2 --target review-scenarios -j8
