// Adapter for the benchmark: reads batches from standard input and writes the replies to standard output.
#include <cstdio>
#include <exception>
#include <string>

#include "codec.hpp"

namespace {

// In bytes. The batches of a long day are far smaller; a larger size means a corrupted length field.
constexpr std::uint32_t kMaxFrameSize = 1u << 30;

// Reads this many bytes; false if the input ends before, with what was read in the buffer.
bool read_exactly(std::string& buffer, std::size_t size) {
    buffer.clear();
    constexpr std::size_t chunk_size = 1 << 20;
    while (buffer.size() < size) {
        const std::size_t old_size = buffer.size();
        const std::size_t requested = std::min(chunk_size, size - old_size);
        buffer.resize(old_size + requested);
        const std::size_t received = std::fread(buffer.data() + old_size, 1, requested, stdin);
        buffer.resize(old_size + received);
        if (received < requested) return false;
    }
    return true;
}

}  // namespace

int main() {
    try {
        ivyfield::benchlink::DirectorHost host;
        std::string frame;
        while (true) {
            if (!read_exactly(frame, 4)) {
                if (!frame.empty())
                    throw ivyfield::benchlink::WireError("input ends inside a frame's length");
                return 0;
            }
            const std::uint32_t size = ivyfield::benchlink::Reader(frame).u32();
            if (size > kMaxFrameSize) throw ivyfield::benchlink::WireError("frame is too long");
            if (!read_exactly(frame, size)) throw ivyfield::benchlink::WireError("input ends inside a frame");
            const std::string reply = host.process_batch(frame);
            if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
                std::fflush(stdout) != 0)
                throw ivyfield::benchlink::WireError("cannot write the reply");
        }
    } catch (const std::exception& e) {
        std::fprintf(stderr, "ivyfield_benchlink: %s\n", e.what());
        return 1;
    }
}
