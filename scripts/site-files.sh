#!/bin/sh
# Copies the files of the users' kit that a site file needs into deploy/sites, for a run of the users' benchmark:
#     sh scripts/site-files.sh ../given/kit/more/mass/other
# git ignores them, so that the kit does not get into the repository.
set -eu
kit=${1:?the folder of the kit that holds real.json, wire.json and unlock.txt}
cd "$(dirname "$0")/.."
for file in real.json wire.json unlock.txt; do
    [ -f "$kit/$file" ] || { echo "site-files: $kit/$file is missing" >&2; exit 1; }
    cp "$kit/$file" "deploy/sites/$file"
done
