#!/bin/sh
# Runs on a fresh machine: installs the missing Debian packages, builds, plays examples/days/bad-day.json on loopback
# with three director processes and prints the verdict on the six rules. Takes one minute after the build.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-packages.sh
cmake -S . -B build-release -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-release -j"$(nproc)" --target ivyfield_program > /dev/null
echo "playing examples/days/bad-day.json on loopback..."
exec build-release/ivyfield day examples/days/bad-day.json "$@"
