// HLS playlists (RFC 8216) as values: what ivyfield writes for players, and what it reads of folders of media
// that a packager made. No I/O. Tags that are not known are passed over (6.3.1).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivyfield::hls {

struct Segment {
    double duration_s = 0;
    std::string uri;
    bool discontinuity = false;  // before this segment (4.3.2.3)
};
struct MediaPlaylist {
    int version = 3;
    std::uint64_t media_sequence = 0;  // of the first segment
    std::vector<Segment> segments;
    std::string map_uri;  // initialization section (4.3.2.5); empty: none
    bool ended = false;   // no segment will be added
};
struct Variant {
    std::int64_t bandwidth = 0, average_bandwidth = 0;  // bits a second
    std::string codecs, resolution;                     // as RFC 6381 and WxH; empty: not said
    std::string uri;
};

// Throw std::invalid_argument with the number of the line and the reason.
MediaPlaylist parse_media_playlist(std::string_view text);
std::vector<Variant> parse_master_playlist(std::string_view text);

std::string write_media_playlist(const MediaPlaylist& playlist);
std::string write_master_playlist(const std::vector<Variant>& variants);

// What a live title over a finished one shows at a time since some beginning: the last `most` segments that
// are over by then, the list repeated without end. Numbers grow for ever; a repeat is a discontinuity.
MediaPlaylist live_window(const MediaPlaylist& whole, double at_s, std::size_t most);

}  // namespace ivyfield::hls
