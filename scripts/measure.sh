#!/bin/sh
# Builds in release and measures what one director costs; docs/results/director.md has the figures and what they mean.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-packages.sh
cmake -S . -B build-release -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-release -j"$(nproc)" > /dev/null
exec build-release/ivyfield_measure --program "$PWD/build-release/ivyfield" "$@"
