#include "hls/playlist.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <tao/pegtl.hpp>

namespace ivyfield::hls {

namespace {

// Attribute lists (RFC 8216, 4.2): AttributeName=AttributeValue, joined by commas.
namespace grammar {
namespace p = tao::pegtl;
struct name : p::plus<p::sor<p::upper, p::digit, p::one<'-'>>> {};
struct quoted_text : p::star<p::not_one<'"', '\r', '\n'>> {};
struct quoted : p::seq<p::one<'"'>, quoted_text, p::one<'"'>> {};
struct plain : p::plus<p::not_one<',', '"', ' ', '\r', '\n'>> {};
struct attribute : p::seq<name, p::one<'='>, p::sor<quoted, plain>> {};
struct list : p::seq<p::list<attribute, p::one<','>>, p::eof> {};

// The attributes parsed so far.
struct State {
    std::string name;
    std::map<std::string, std::string> values;
};
template <typename Rule>
struct action : p::nothing<Rule> {};
template <>
struct action<name> {
    template <typename Input>
    static void apply(const Input& in, State& state) {
        state.name = in.string();
    }
};
template <>
struct action<quoted_text> {
    template <typename Input>
    static void apply(const Input& in, State& state) {
        state.values[state.name] = in.string();
    }
};
template <>
struct action<plain> {
    template <typename Input>
    static void apply(const Input& in, State& state) {
        state.values[state.name] = in.string();
    }
};
}  // namespace grammar

// The non-empty lines of a playlist, with parsers whose errors name the line.
class Lines {
  public:
    explicit Lines(std::string_view text) : remaining_(text) {
        const auto first = next_line();
        if (!first || *first != "#EXTM3U") fail("a playlist must begin with #EXTM3U");
    }
    std::optional<std::string_view> next_line() {
        while (!remaining_.empty()) {
            const std::size_t end = std::min(remaining_.find('\n'), remaining_.size());
            std::string_view line = remaining_.substr(0, end);
            remaining_.remove_prefix(std::min(end + 1, remaining_.size()));
            line_number_ += 1;
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (!line.empty()) return line;
        }
        return std::nullopt;
    }
    [[noreturn]] void fail(const std::string& reason) const {
        throw std::invalid_argument("line " + std::to_string(line_number_) + ": " + reason);
    }
    template <typename T>
    T parse_number(std::string_view text, const char* name) const {
        T value{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 0)
            fail(std::string(name) + " \"" + std::string(text) + "\" is not a number");
        return value;
    }
    std::map<std::string, std::string> parse_attributes(std::string_view text) const {
        grammar::State state;
        tao::pegtl::memory_input in(text.data(), text.data() + text.size(), "");
        if (!tao::pegtl::parse<grammar::list, grammar::action>(in, state))
            fail("not a list of attributes: " + std::string(text));
        return state.values;
    }

  private:
    std::string_view remaining_;
    int line_number_ = 0;
};

// The value of a tag, if the line is that tag.
std::optional<std::string_view> tag_value(std::string_view line, std::string_view name) {
    if (line.substr(0, name.size()) != name) return std::nullopt;
    return line.substr(name.size());
}
std::string format_seconds(double s) {
    std::ostringstream out;
    out << std::setprecision(9) << s;
    return out.str();
}

}  // namespace

MediaPlaylist parse_media_playlist(std::string_view text) {
    Lines lines(text);
    MediaPlaylist out;
    bool has_duration = false, discontinuity = false;  // of the next segment
    double duration_s = 0;
    while (const auto line = lines.next_line()) {
        if (const auto value = tag_value(*line, "#EXTINF:")) {
            duration_s = lines.parse_number<double>(
                value->substr(0, std::min(value->find(','), value->size())), "the duration");
            has_duration = true;
        } else if (const auto value = tag_value(*line, "#EXT-X-VERSION:")) {
            out.version = lines.parse_number<int>(*value, "the version");
        } else if (const auto value = tag_value(*line, "#EXT-X-MEDIA-SEQUENCE:")) {
            out.media_sequence = lines.parse_number<std::uint64_t>(*value, "the sequence number");
        } else if (const auto value = tag_value(*line, "#EXT-X-MAP:")) {
            out.map_uri = lines.parse_attributes(*value)["URI"];
            if (out.map_uri.empty()) lines.fail("EXT-X-MAP without URI");
        } else if (*line == "#EXT-X-DISCONTINUITY") {
            discontinuity = true;
        } else if (*line == "#EXT-X-ENDLIST") {
            out.ended = true;
        } else if (line->front() != '#') {
            if (!has_duration) lines.fail("a segment without #EXTINF before it");
            if (!(duration_s > 0)) lines.fail("the duration of a segment must be greater than 0");
            out.segments.push_back({duration_s, std::string(*line), discontinuity});
            has_duration = discontinuity = false;
        }
    }
    if (has_duration) lines.fail("#EXTINF without a segment after it");
    if (out.segments.empty()) lines.fail("no segments");
    return out;
}

std::vector<Variant> parse_master_playlist(std::string_view text) {
    Lines lines(text);
    std::vector<Variant> out;
    std::optional<Variant> variant;
    while (const auto line = lines.next_line()) {
        if (const auto value = tag_value(*line, "#EXT-X-STREAM-INF:")) {
            auto attributes = lines.parse_attributes(*value);
            variant.emplace();
            variant->bandwidth = lines.parse_number<std::int64_t>(attributes["BANDWIDTH"], "BANDWIDTH");
            if (attributes.count("AVERAGE-BANDWIDTH"))
                variant->average_bandwidth =
                    lines.parse_number<std::int64_t>(attributes["AVERAGE-BANDWIDTH"], "AVERAGE-BANDWIDTH");
            variant->codecs = attributes["CODECS"], variant->resolution = attributes["RESOLUTION"];
        } else if (line->front() != '#') {
            if (!variant) lines.fail("a variant without #EXT-X-STREAM-INF before it");
            variant->uri = std::string(*line);
            out.push_back(std::move(*variant));
            variant.reset();
        }
    }
    if (variant) lines.fail("#EXT-X-STREAM-INF without a variant after it");
    return out;
}

std::string write_media_playlist(const MediaPlaylist& playlist) {
    double max_duration_s = 0;
    for (const Segment& s : playlist.segments) max_duration_s = std::max(max_duration_s, s.duration_s);
    // Segment durations, rounded to the nearest second, must not exceed the target duration (4.3.3.1).
    std::string out = "#EXTM3U\n#EXT-X-VERSION:" + std::to_string(std::max(3, playlist.version)) +
                      "\n#EXT-X-TARGETDURATION:" + std::to_string(std::max(1L, std::lround(max_duration_s))) +
                      "\n#EXT-X-MEDIA-SEQUENCE:" + std::to_string(playlist.media_sequence) + "\n";
    if (playlist.ended) out += "#EXT-X-PLAYLIST-TYPE:VOD\n";
    if (!playlist.map_uri.empty()) out += "#EXT-X-MAP:URI=\"" + playlist.map_uri + "\"\n";
    for (const Segment& s : playlist.segments) {
        if (s.discontinuity) out += "#EXT-X-DISCONTINUITY\n";
        out += "#EXTINF:" + format_seconds(s.duration_s) + ",\n" + s.uri + "\n";
    }
    if (playlist.ended) out += "#EXT-X-ENDLIST\n";
    return out;
}

std::string write_master_playlist(const std::vector<Variant>& variants) {
    std::string out = "#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-INDEPENDENT-SEGMENTS\n";
    for (const Variant& v : variants) {
        out += "#EXT-X-STREAM-INF:BANDWIDTH=" + std::to_string(v.bandwidth) +
               ",AVERAGE-BANDWIDTH=" + std::to_string(v.average_bandwidth);
        if (!v.codecs.empty()) out += ",CODECS=\"" + v.codecs + "\"";
        if (!v.resolution.empty()) out += ",RESOLUTION=" + v.resolution;
        out += "\n" + v.uri + "\n";
    }
    return out;
}

MediaPlaylist live_window(const MediaPlaylist& source, double at_s, std::size_t max_segments) {
    double total_s = 0;
    for (const Segment& s : source.segments) total_s += s.duration_s;
    const auto count = static_cast<std::uint64_t>(source.segments.size());
    if (count == 0 || !(total_s > 0)) throw std::invalid_argument("no segments to show");
    const double repeats = std::floor(std::max(0.0, at_s) / total_s);
    double offset_s = std::max(0.0, at_s) - repeats * total_s;
    std::uint64_t finished = static_cast<std::uint64_t>(repeats) * count;
    for (const Segment& s : source.segments) {
        if (s.duration_s > offset_s) break;
        offset_s -= s.duration_s;
        finished += 1;
    }
    // At the beginning the first segments are listed although they are not finished, so that a player can
    // start.
    const std::uint64_t end = std::max<std::uint64_t>(finished, max_segments);
    MediaPlaylist out;
    out.version = source.version;
    out.map_uri = source.map_uri;
    out.media_sequence = end - max_segments;
    for (std::uint64_t k = out.media_sequence; k < end; ++k) {
        Segment s = source.segments[static_cast<std::size_t>(k % count)];
        s.discontinuity = s.discontinuity || (k % count == 0 && k > 0);
        out.segments.push_back(std::move(s));
    }
    return out;
}

}  // namespace ivyfield::hls
