#!/bin/sh
# Installs the Debian packages of packages.txt that are missing. Does not ask for root rights if none is.
set -eu
cd "$(dirname "$0")"
missing=
for package in $(cat packages.txt); do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
# valijson is header-only, but its package depends on every JSON library that it has an adapter for, including Qt and
# Poco. Therefore only the files of the package are unpacked, into build-deps.
if ! [ -f ../build-deps/usr/include/valijson/validator.hpp ] && ! [ -f /usr/include/valijson/validator.hpp ]; then
    fetch=libvalijson-dev
fi
[ -z "$missing" ] && [ -z "${fetch:-}" ] && exit 0
as_root=
if [ "$(id -u)" -ne 0 ]; then
    command -v sudo > /dev/null || { echo "these packages are missing and need root:$missing" >&2; exit 1; }
    as_root=sudo
fi
$as_root apt-get update -qq
# shellcheck disable=SC2086
[ -z "$missing" ] || DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $missing
if [ -n "${fetch:-}" ]; then
    mkdir -p ../build-deps
    (cd ../build-deps && apt-get download -qq "$fetch" && dpkg -x "$fetch"_*.deb . && rm -f "$fetch"_*.deb)
fi
