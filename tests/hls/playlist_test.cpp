// Playlists: parsed and written ones, playlists of a packager, and errors with line and reason.
#include "hls/playlist.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

using namespace ivyfield::hls;

namespace {

std::string error_of(const std::string& text, bool master = false) {
    try {
        if (master) parse_master_playlist(text);
        else parse_media_playlist(text);
    } catch (const std::invalid_argument& e) {
        return e.what();
    }
    return "";
}

TEST(Playlist, ParsesAndWritesAPackagersMediaPlaylist) {
    const auto p = parse_media_playlist(
        "#EXTM3U\r\n#EXT-X-VERSION:7\r\n#EXT-X-TARGETDURATION:4\r\n#EXT-X-MEDIA-SEQUENCE:0\r\n"
        "#EXT-X-MAP:URI=\"init.mp4\"\r\n#EXT-X-SOMETHING-NEW:1\r\n# a remark\r\n"
        "#EXTINF:4.000000,\r\na.m4s\r\n#EXTINF:3.48,a title, with a comma\r\nb.m4s\r\n#EXT-X-ENDLIST\r\n");
    ASSERT_EQ(p.segments.size(), 2u);
    EXPECT_DOUBLE_EQ(p.segments[1].duration_s, 3.48);
    EXPECT_EQ(p.map_uri, "init.mp4");
    EXPECT_TRUE(p.ended);
    const std::string out = write_media_playlist(p);
    EXPECT_NE(out.find("#EXT-X-TARGETDURATION:4\n"), std::string::npos);
    EXPECT_EQ(write_media_playlist(parse_media_playlist(out)), out);
}
TEST(Playlist, ParsesCodecsAndResolutionsOfAMasterPlaylist) {
    const auto v = parse_master_playlist(
        "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1280000,CODECS=\"avc1.4d401f,mp4a.40.2\",RESOLUTION=640x360\n"
        "0/index.m3u8\n#EXT-X-STREAM-INF:AVERAGE-BANDWIDTH=9,BANDWIDTH=10\n1/index.m3u8\n");
    ASSERT_EQ(v.size(), 2u);
    EXPECT_EQ(v[0].codecs, "avc1.4d401f,mp4a.40.2");
    EXPECT_EQ(v[0].resolution, "640x360");
    EXPECT_EQ(v[1].average_bandwidth, 9);
    EXPECT_EQ(parse_master_playlist(write_master_playlist(v))[0].codecs, v[0].codecs);
}
TEST(Playlist, ErrorsNameLineAndReason) {
    EXPECT_EQ(error_of("hello\n"), "line 1: a playlist must begin with #EXTM3U");
    EXPECT_EQ(error_of("#EXTM3U\na.ts\n"), "line 2: a segment without #EXTINF before it");
    EXPECT_EQ(error_of("#EXTM3U\n#EXTINF:x,\na.ts\n"), "line 2: the duration \"x\" is not a number");
    EXPECT_EQ(error_of("#EXTM3U\n#EXTINF:-1,\na.ts\n"), "line 2: the duration \"-1\" is not a number");
    EXPECT_EQ(error_of("#EXTM3U\n#EXTINF:0,\na.ts\n"),
              "line 3: the duration of a segment must be greater than 0");
    EXPECT_EQ(error_of("#EXTM3U\n#EXTINF:2,\n"), "line 2: #EXTINF without a segment after it");
    EXPECT_EQ(error_of("#EXTM3U\n"), "line 1: no segments");
    EXPECT_EQ(error_of("#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=\"1\n", true).substr(0, 34),
              "line 2: not a list of attributes: ");
    EXPECT_EQ(error_of("#EXTM3U\n#EXT-X-STREAM-INF:CODECS=\"a\"\nx\n", true),
              "line 2: BANDWIDTH \"\" is not a number");
}
TEST(Playlist, LiveWindowAdvancesAndRepeatsWithADiscontinuity) {
    MediaPlaylist source;
    for (const char* uri : {"a", "b", "c", "d"}) source.segments.push_back({2, uri, false});
    const auto describe = [](const MediaPlaylist& p) {
        std::string out;
        for (const Segment& s : p.segments) out += (s.discontinuity ? "|" : "") + s.uri;
        return std::to_string(p.media_sequence) + ":" + out;
    };
    EXPECT_EQ(describe(live_window(source, 0, 3)), "0:abc");
    EXPECT_EQ(describe(live_window(source, 7.9, 3)), "0:abc");
    EXPECT_EQ(describe(live_window(source, 8, 3)), "1:bcd");
    EXPECT_EQ(describe(live_window(source, 10.5, 3)), "2:cd|a");
    EXPECT_EQ(describe(live_window(source, 16, 3)), "5:bcd");
    std::uint64_t last = 0;
    for (double at = 0; at < 100; at += 0.5) {
        const auto p = live_window(source, at, 3);
        EXPECT_GE(p.media_sequence, last);
        last = p.media_sequence;
    }
    EXPECT_THROW(live_window({}, 1, 3), std::invalid_argument);
}

}  // namespace
