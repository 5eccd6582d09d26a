// HLS playlists (RFC 8216) as values: those that ivyfield writes for players, and those that it reads from
// media folders written by a packager. No I/O. Unknown tags are ignored (6.3.1).
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ivyfield::hls {

// A segment of a media playlist.
struct Segment {
    double duration_s = 0;
    std::string uri;
    bool discontinuity = false;  // before this segment (4.3.2.3)
};
// A media playlist.
struct MediaPlaylist {
    int version = 3;
    std::uint64_t media_sequence = 0;  // of the first segment
    std::vector<Segment> segments;
    std::string map_uri;  // initialization section (4.3.2.5); empty: none
    bool ended = false;   // no segments will be added
};
// A variant stream of a master playlist.
struct Variant {
    std::int64_t bandwidth = 0, average_bandwidth = 0;  // bit/s
    std::string codecs, resolution;                     // RFC 6381 and WIDTHxHEIGHT; empty: not specified
    std::string uri;
};

// Throw std::invalid_argument with the line's number and the reason.
MediaPlaylist parse_media_playlist(std::string_view text);
std::vector<Variant> parse_master_playlist(std::string_view text);

std::string write_media_playlist(const MediaPlaylist& playlist);
std::string write_master_playlist(const std::vector<Variant>& variants);

// The playlist of a live title that repeats a finished playlist endlessly, `at_s` seconds after its start:
// the last `max_segments` segments that are finished by then. The media sequence number grows forever; each
// repeat starts with a discontinuity. Throws std::invalid_argument if `source` has no segments.
MediaPlaylist live_window(const MediaPlaylist& source, double at_s, std::size_t max_segments);

}  // namespace ivyfield::hls
