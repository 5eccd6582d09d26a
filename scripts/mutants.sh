#!/bin/sh
# Mutation test: do the example days and their audit detect a director that breaks the rules? For each defect of
# tests/mutants, builds the program with it in a copy of the tree and plays the example days on simulated time. Prints
# for how many seeds of each day a verdict on the rules detects the defect, and for how many only a crash does. Exit
# code 1: no verdict detected one of the defects.
# Usage: scripts/mutants.sh [SEEDS [MUTANT...]]      SEEDS: 40 by default; MUTANT: a file name in tests/mutants
set -eu
cd "$(dirname "$0")/.."
seeds=${1:-40}
[ $# -gt 0 ] && shift
root=$PWD
sh scripts/install-packages.sh
[ $# -gt 0 ] || set -- $(ls tests/mutants | sort -n)
tree=build-mutants/tree
mkdir -p "$tree"
fresh() { for part in CMakeLists.txt src include config cmake; do cp -R -p -u "$part" "$tree/"; done; }
build() {
    cmake -UVALIJSON_INCLUDE -DCMAKE_INCLUDE_PATH="$root/build-deps/usr/include" \
        -S "$tree" -B build-mutants/out -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Tests -DCMAKE_CXX_FLAGS=-O1 > /dev/null
    cmake --build build-mutants/out -j"$(nproc)" --target ivyfield_program > build-mutants/log 2>&1 ||
        { tail -20 build-mutants/log; echo "$1 does not build"; exit 1; }
}
play() {  # prints "verdicts/crashes" for each day; the numbers of broken rules go to build-mutants/rules
    : > build-mutants/rules
    for day in bad-day cold tries lives; do
        rm -rf build-mutants/runs && mkdir build-mutants/runs
        seq 1 "$seeds" | xargs -P "$(nproc)" -I N sh -c "timeout 120 build-mutants/out/ivyfield day examples/days/$day.json \
            --virtual --seed N > build-mutants/runs/N 2>&1; echo \$? > build-mutants/runs/N.code"
        verdicts=$(cat build-mutants/runs/*.code | grep -c '^1$' || true)
        crashes=$(cat build-mutants/runs/*.code | grep -vc '^[01]$' || true)
        grep -hoE '^rule [1-6].*BROKEN' build-mutants/runs/* | cut -c6 >> build-mutants/rules || true
        # A run that ends with an exception exits with 1 too, but prints no table.
        tables=$(grep -lE 'BROKEN' build-mutants/runs/* | wc -l)
        printf ' %9s' "$tables/$((verdicts - tables + crashes))"
    done
}
perl -e 1
fresh
build "the program itself"
printf '%-30s %9s %9s %9s %9s  %s\n' "defect (of $seeds seeds)" bad-day cold tries lives "rules; a/b: a verdicts, b only crashes"
printf '%-30s' none
play
echo "  $(sort -u build-mutants/rules | tr '\n' ' ')"
[ ! -s build-mutants/rules ] || { echo "the program itself breaks a rule"; exit 1; }
missed=
for mutant; do
    perl - "$root/tests/mutants/$mutant" "$tree" <<'PERL'
use strict;
my ($list, $tree) = @ARGV;
open my $in, '<', $list or die "$list: $!";
my (@edits, $part);
while (<$in>) {
    next if /^#/;
    if (/^file (\S+)/) { push @edits, {file => $1, from => '', to => ''}; $part = undef; next }
    if (s/^- //) { $part = 'from' }
    elsif (s/^\+ ?//) { $part = 'to' }
    die "$list: a line before its file\n" unless @edits && $part;
    $edits[-1]{$part} .= $_;
}
for my $e (@edits) {
    chomp($e->{from}, $e->{to});
    my $path = "$tree/$e->{file}";
    open my $f, '<', $path or die "$path: $!";
    local $/;
    my $text = <$f>;
    my $n = () = $text =~ /\Q$e->{from}\E/g;
    die "$list: found $n times in $e->{file}, wanted once:\n$e->{from}\n" unless $n == 1;
    $text =~ s/\Q$e->{from}\E/$e->{to}/;
    open my $out, '>', $path or die "$path: $!";
    print $out $text;
}
PERL
    build "$mutant"
    printf '%-30s' "$mutant"
    play
    echo "  $(sort -u build-mutants/rules | tr '\n' ' ')"
    [ -s build-mutants/rules ] || missed="$missed $mutant"
    for file in $(sed -n 's/^file //p' "tests/mutants/$mutant" | sort -u); do
        cp "$file" "$tree/$file"  # gets a new modification time, so that it is rebuilt
    done
done
[ -z "$missed" ] || { echo "not caught by any verdict:$missed"; exit 1; }
