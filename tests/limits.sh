#!/bin/sh
# The module's limits: 850 lines that are not blank, 110 columns; no decision files beside it.
set -eu
cd "$(dirname "$0")/.."
lines=$(grep -c '[^[:space:]]' src/rules.cpp)
echo "src/rules.cpp: $lines lines that are not blank"
[ "$lines" -le 850 ] || { echo "over 850 lines"; exit 1; }
if grep -nE '^.{111,}$' src/rules.cpp src/benchlink/*.?pp include/ivyfield/*.hpp tests/*.?pp; then
    echo "lines over 110 columns"
    exit 1
fi
if grep -nE 'unordered_(map|set)|system_clock|steady_clock|random_device' src/rules.cpp; then
    echo "the module may not depend on these"
    exit 1
fi
head -3 src/rules.cpp | grep -q include/ivyfield/director.hpp
