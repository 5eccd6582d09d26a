#!/bin/sh
# Tests real players with a director and stand-in nodes: hls.js and Shaka Player in headless Chromium, with media made
# by ffmpeg. Not part of tests/run.sh, since it installs a browser. Takes about two minutes after the installation.
set -eu
cd "$(dirname "$0")/.."
sh scripts/install-packages.sh
missing=
for package in chromium ffmpeg; do
    dpkg-query -W -f='${Status}' $package 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
command -v npm > /dev/null || missing="$missing nodejs npm"
if [ -n "$missing" ]; then
    as_root=; [ "$(id -u)" -eq 0 ] || as_root=sudo
    $as_root apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $missing
fi
cmake -S . -B build-release -DIVYFIELD_PROGRAM=ON -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build build-release -j"$(nproc)" --target ivyfield_program > /dev/null
work=$PWD/build-clients
mkdir -p "$work"
cp tests/clients/* "$work"
[ -d "$work/node_modules/hls.js" ] || (cd "$work" && npm install --no-audit --no-fund --silent)
if [ ! -s "$work/media/master.m3u8" ]; then
    rm -rf "$work/media" && mkdir "$work/media"
    (cd "$work/media" && ffmpeg -loglevel error -f lavfi -i testsrc=size=640x360:rate=25 -f lavfi -i sine=frequency=440 -t 90 \
        -map 0:v -map 1:a -map 0:v -map 1:a -map 0:v -map 1:a -c:v libx264 -preset ultrafast -pix_fmt yuv420p -g 50 \
        -keyint_min 50 -sc_threshold 0 -b:v:0 200k -s:v:0 320x180 -b:v:1 500k -s:v:1 480x270 -b:v:2 1000k -s:v:2 640x360 \
        -c:a aac -b:a 64k -f hls -hls_time 2 -hls_playlist_type vod -master_pl_name master.m3u8 \
        -var_stream_map "v:0,a:0 v:1,a:1 v:2,a:2" -hls_segment_filename "%v/%03d.ts" "%v/index.m3u8")
fi
exec node "$work/run.mjs" "$PWD/build-release/ivyfield" "$work/media" "$(command -v chromium)"
