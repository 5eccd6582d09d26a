#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into build/review-2, with the compiler alone. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/case*.cpp; do
    name=$(basename "$source" .cpp)
    ${CXX:-c++} -std=c++17 -O1 -Wall -Wextra -o "build/review-2/$name" "$source" &
done
wait
for source in review/standins-2/case*.cpp; do
    test -x "build/review-2/$(basename "$source" .cpp)" || exit 1
done
