#!/bin/sh
# The test command: installs missing packages, checks the limits, builds with warnings as errors, runs the tests plain
# and with sanitizers, and builds the adapter alone, as the deploy file does.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-packages.sh
sh tests/limits.sh
sh tests/ctest_test.sh
jobs=$(nproc)
for kind in plain sanitize; do
    [ $kind = sanitize ] && on=ON || on=OFF
    cmake -S . -B build-$kind -DIVYFIELD_TESTS=ON -DIVYFIELD_PROGRAM=ON -DIVYFIELD_SANITIZE=$on -DIVYFIELD_CHECKS=ON \
        -DCMAKE_BUILD_TYPE=Tests -DCMAKE_CXX_FLAGS="-Werror -O1 -g1" > /dev/null
    [ $kind = sanitize ] && target=all_tests || target=all
    cmake --build build-$kind -j"$jobs" --target $target
    sh tests/ctest.sh build-$kind "$jobs"
done
# The operators' build must work without the packages that the program needs.
cmake -S . -B build-adapter -DCMAKE_BUILD_TYPE=Release -DCMAKE_CXX_FLAGS=-Werror > /dev/null
cmake --build build-adapter -j"$jobs"
printf '' | build-adapter/ivyfield_benchlink
