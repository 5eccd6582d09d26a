#!/bin/sh
# Makes a release build and measures the CPU time and memory of one director; docs/results/director.md has the figures
# and explains them.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-packages.sh
cmake -S . -B build-release -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-release -j"$(nproc)" > /dev/null
exec build-release/ivyfield_measure --program "$PWD/build-release/ivyfield" "$@"
