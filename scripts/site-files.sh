#!/bin/sh
# Puts the kit's files that a site file needs beside our own variants (deploy/sites), for a run of the users' bench:
#     sh scripts/site-files.sh ../given/kit/more/mass/other
# They are ignored by git: the kit is not copied into the repository.
set -eu
kit=${1:?the folder of the kit that holds real.json, wire.json and unlock.txt}
cd "$(dirname "$0")/.."
for file in real.json wire.json unlock.txt; do
    [ -f "$kit/$file" ] || { echo "site-files: $kit/$file is missing" >&2; exit 1; }
    cp "$kit/$file" "deploy/sites/$file"
done
