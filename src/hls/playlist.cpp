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

struct State {
    std::string name;
    std::map<std::string, std::string> values;
};
template <typename Rule>
struct action : p::nothing<Rule> {};
template <>
struct action<name> {
    template <typename Input>
    static void apply(const Input& in, State& s) {
        s.name = in.string();
    }
};
template <>
struct action<quoted_text> {
    template <typename Input>
    static void apply(const Input& in, State& s) {
        s.values[s.name] = in.string();
    }
};
template <>
struct action<plain> {
    template <typename Input>
    static void apply(const Input& in, State& s) {
        s.values[s.name] = in.string();
    }
};
}  // namespace grammar

class Lines {
  public:
    explicit Lines(std::string_view text) : left_(text) {
        const auto first = next();
        if (!first || *first != "#EXTM3U") fail("a playlist begins with #EXTM3U");
    }
    std::optional<std::string_view> next() {
        while (!left_.empty()) {
            const std::size_t end = std::min(left_.find('\n'), left_.size());
            std::string_view line = left_.substr(0, end);
            left_.remove_prefix(std::min(end + 1, left_.size()));
            number_ += 1;
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            if (!line.empty()) return line;
        }
        return std::nullopt;
    }
    [[noreturn]] void fail(const std::string& why) const {
        throw std::invalid_argument("line " + std::to_string(number_) + ": " + why);
    }
    template <typename T>
    T number(std::string_view text, const char* what) const {
        T value{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 0)
            fail(std::string(what) + " \"" + std::string(text) + "\" is not a number");
        return value;
    }
    std::map<std::string, std::string> attributes(std::string_view text) const {
        grammar::State state;
        tao::pegtl::memory_input in(text.data(), text.data() + text.size(), "");
        if (!tao::pegtl::parse<grammar::list, grammar::action>(in, state))
            fail("not a list of attributes: " + std::string(text));
        return state.values;
    }

  private:
    std::string_view left_;
    int number_ = 0;
};

// The value of a tag, if the line is that tag.
std::optional<std::string_view> tag(std::string_view line, std::string_view name) {
    if (line.substr(0, name.size()) != name) return std::nullopt;
    return line.substr(name.size());
}
std::string seconds(double s) {
    std::ostringstream out;
    out << std::setprecision(9) << s;
    return out.str();
}

}  // namespace

MediaPlaylist parse_media_playlist(std::string_view text) {
    Lines lines(text);
    MediaPlaylist out;
    bool due = false, discontinuity = false;  // due: a segment of this duration is to come
    double duration = 0;
    while (const auto line = lines.next()) {
        if (const auto v = tag(*line, "#EXTINF:")) {
            duration = lines.number<double>(v->substr(0, std::min(v->find(','), v->size())), "the duration");
            due = true;
        } else if (const auto v = tag(*line, "#EXT-X-VERSION:")) {
            out.version = lines.number<int>(*v, "the version");
        } else if (const auto v = tag(*line, "#EXT-X-MEDIA-SEQUENCE:")) {
            out.media_sequence = lines.number<std::uint64_t>(*v, "the sequence number");
        } else if (const auto v = tag(*line, "#EXT-X-MAP:")) {
            out.map_uri = lines.attributes(*v)["URI"];
            if (out.map_uri.empty()) lines.fail("EXT-X-MAP without URI");
        } else if (*line == "#EXT-X-DISCONTINUITY") {
            discontinuity = true;
        } else if (*line == "#EXT-X-ENDLIST") {
            out.ended = true;
        } else if (line->front() != '#') {
            if (!due) lines.fail("a segment without #EXTINF before it");
            if (!(duration > 0)) lines.fail("a segment that lasts no time");
            out.segments.push_back({duration, std::string(*line), discontinuity});
            due = discontinuity = false;
        }
    }
    if (due) lines.fail("#EXTINF without a segment after it");
    if (out.segments.empty()) lines.fail("no segments");
    return out;
}

std::vector<Variant> parse_master_playlist(std::string_view text) {
    Lines lines(text);
    std::vector<Variant> out;
    std::optional<Variant> next;
    while (const auto line = lines.next()) {
        if (const auto v = tag(*line, "#EXT-X-STREAM-INF:")) {
            auto a = lines.attributes(*v);
            next.emplace();
            next->bandwidth = lines.number<std::int64_t>(a["BANDWIDTH"], "BANDWIDTH");
            if (a.count("AVERAGE-BANDWIDTH"))
                next->average_bandwidth =
                    lines.number<std::int64_t>(a["AVERAGE-BANDWIDTH"], "AVERAGE-BANDWIDTH");
            next->codecs = a["CODECS"], next->resolution = a["RESOLUTION"];
        } else if (line->front() != '#') {
            if (!next) lines.fail("a variant without #EXT-X-STREAM-INF before it");
            next->uri = std::string(*line);
            out.push_back(std::move(*next));
            next.reset();
        }
    }
    if (next) lines.fail("#EXT-X-STREAM-INF without a variant after it");
    return out;
}

std::string write_media_playlist(const MediaPlaylist& playlist) {
    double longest = 0;
    for (const Segment& s : playlist.segments) longest = std::max(longest, s.duration_s);
    // Durations round to the nearest second, which may not exceed the target (4.3.3.1).
    std::string out = "#EXTM3U\n#EXT-X-VERSION:" + std::to_string(std::max(3, playlist.version)) +
                      "\n#EXT-X-TARGETDURATION:" + std::to_string(std::max(1L, std::lround(longest))) +
                      "\n#EXT-X-MEDIA-SEQUENCE:" + std::to_string(playlist.media_sequence) + "\n";
    if (playlist.ended) out += "#EXT-X-PLAYLIST-TYPE:VOD\n";
    if (!playlist.map_uri.empty()) out += "#EXT-X-MAP:URI=\"" + playlist.map_uri + "\"\n";
    for (const Segment& s : playlist.segments) {
        if (s.discontinuity) out += "#EXT-X-DISCONTINUITY\n";
        out += "#EXTINF:" + seconds(s.duration_s) + ",\n" + s.uri + "\n";
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

MediaPlaylist live_window(const MediaPlaylist& whole, double at_s, std::size_t most) {
    double length = 0;
    for (const Segment& s : whole.segments) length += s.duration_s;
    const auto n = static_cast<std::uint64_t>(whole.segments.size());
    if (n == 0 || !(length > 0)) throw std::invalid_argument("no segments to show");
    const double rounds = std::floor(std::max(0.0, at_s) / length);
    double into = std::max(0.0, at_s) - rounds * length;
    std::uint64_t over = static_cast<std::uint64_t>(rounds) * n;
    for (const Segment& s : whole.segments) {
        if (s.duration_s > into) break;
        into -= s.duration_s;
        over += 1;
    }
    // At the very beginning the first ones are shown, so that a player has something to start with.
    const std::uint64_t end = std::max<std::uint64_t>(over, most);
    MediaPlaylist out;
    out.version = whole.version;
    out.map_uri = whole.map_uri;
    out.media_sequence = end - most;
    for (std::uint64_t k = out.media_sequence; k < end; ++k) {
        Segment s = whole.segments[static_cast<std::size_t>(k % n)];
        s.discontinuity = s.discontinuity || (k % n == 0 && k > 0);
        out.segments.push_back(std::move(s));
    }
    return out;
}

}  // namespace ivyfield::hls
