#!/bin/sh
# Plays examples/days/bad-day.json on loopback with many seeds, several in parallel, and prints one line per seed. Exit
# code 1: a run broke a rule or failed.
# Usage: scripts/bad-days.sh [FIRST [LAST [AT_ONCE]]]
set -eu
cd "$(dirname "$0")/.."
first=${1:-1} last=${2:-20} at_once=${3:-4}
cmake -S . -B build-release -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-release -j"$(nproc)" --target ivyfield_program > /dev/null
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
seq "$first" "$last" | xargs -P "$at_once" -I N sh -c \
    "build-release/ivyfield day examples/days/bad-day.json --seed N > $out/N 2>&1; echo \$? > $out/N.code"
bad=0
for seed in $(seq "$first" "$last"); do
    code=$(cat "$out/$seed.code")
    all=$(grep '^all ' "$out/$seed" || true)
    echo "seed $seed: exit $code; rules kept: $(grep -c '  kept  ' "$out/$seed" || true) of 6; $all"
    [ "$code" -eq 0 ] || { bad=1; grep -E 'BROKEN|^  rule|ended by itself|error' "$out/$seed" || true; }
done
exit $bad
