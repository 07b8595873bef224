#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. Needs the packages of the
# deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -pthread -I/usr/include/jsoncpp review/standin/standin.cc \
  -ljsoncpp -o target/review/standin
