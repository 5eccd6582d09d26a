// The bench's adapter: reads batches on standard input, writes one reply to each on standard output.
#include <cstdio>
#include <exception>
#include <string>

#include "codec.hpp"

namespace {

// Batches of a long day are far below this; more is a damaged length.
constexpr std::uint32_t kLargestFrame = 1u << 30;

bool read_exactly(std::string& into, std::size_t size) {
    into.clear();
    constexpr std::size_t step = 1 << 20;
    while (into.size() < size) {
        const std::size_t before = into.size();
        const std::size_t want = std::min(step, size - before);
        into.resize(before + want);
        const std::size_t got = std::fread(into.data() + before, 1, want, stdin);
        into.resize(before + got);
        if (got < want) return false;
    }
    return true;
}

}  // namespace

int main() {
    try {
        ivyfield::benchlink::Host host;
        std::string frame;
        while (true) {
            if (!read_exactly(frame, 4)) {
                if (!frame.empty())
                    throw ivyfield::benchlink::WireError("input ends inside a frame's length");
                return 0;
            }
            const std::uint32_t size = ivyfield::benchlink::Reader(frame).u32();
            if (size > kLargestFrame) throw ivyfield::benchlink::WireError("frame is too long");
            if (!read_exactly(frame, size)) throw ivyfield::benchlink::WireError("input ends inside a frame");
            const std::string reply = host.reply(frame);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0)
                throw ivyfield::benchlink::WireError("cannot write the reply");
        }
    } catch (const std::exception& e) {
        std::fprintf(stderr, "ivyfield_benchlink: %s\n", e.what());
        return 1;
    }
}
