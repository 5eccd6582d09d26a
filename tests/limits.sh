#!/bin/sh
# Checks the limits of the decision module (src/rules.cpp): at most 1,000 lines that are not blank, 110 columns, a
# single file. Checks that nothing outside src/io/ev asks the system for time, randomness, threads or sockets.
set -eu
cd "$(dirname "$0")/.."
lines=$(grep -c '[^[:space:]]' src/rules.cpp)
echo "src/rules.cpp: $lines lines that are not blank"
[ "$lines" -le 1000 ] || { echo "over 1000 lines"; exit 1; }
if find src include tests -name '*.?pp' -print0 | xargs -0 grep -nE '^.{111,}$'; then
    echo "lines over 110 columns"
    exit 1
fi
if grep -nE 'unordered_(map|set)|system_clock|steady_clock|random_device' src/rules.cpp; then
    echo "the module may not depend on these"
    exit 1
fi
if find src include -name '*.?pp' -not -path 'src/io/ev/*' -print0 |
    xargs -0 grep -nE '(system|steady)_clock|random_device|gettimeofday|clock_gettime|std::thread|<sys/socket'; then
    echo "time, randomness, threads or sockets asked of the system outside src/io/ev"
    exit 1
fi
head -3 src/rules.cpp | grep -q include/ivyfield/director.hpp
