#!/bin/sh
# The test command: limits, warnings as errors, tests plain and under sanitizers.
set -eu
cd "$(dirname "$0")/.."
sh tests/limits.sh
for kind in plain sanitize; do
    [ $kind = sanitize ] && on=ON || on=OFF
    cmake -S . -B build-$kind -DIVYFIELD_TESTS=ON -DIVYFIELD_SANITIZE=$on -DCMAKE_BUILD_TYPE=RelWithDebInfo \
        -DCMAKE_CXX_FLAGS=-Werror > /dev/null
    cmake --build build-$kind -j4
    (cd build-$kind && ctest --output-on-failure -j4 --no-tests=error)
done
