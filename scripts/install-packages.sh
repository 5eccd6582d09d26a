#!/bin/sh
# Installs the Debian packages of packages.txt that are missing; asks nothing where all are there.
set -eu
cd "$(dirname "$0")"
missing=
for package in $(cat packages.txt); do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
as_root=
if [ "$(id -u)" -ne 0 ]; then
    command -v sudo > /dev/null || { echo "these packages are missing and need root:$missing" >&2; exit 1; }
    as_root=sudo
fi
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $missing
