// The protocol between the benchmark and the directors that it runs in this process: decodes frames into
// events and encodes actions into frames. It makes no decisions.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::benchlink {

// Malformed or unexpected input.
struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads fixed-width little-endian fields; throws WireError past the end.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    bool is_at_end() const { return position_ == bytes_.size(); }
    std::uint8_t u8();
    std::uint16_t u16();
    std::uint32_t u32();
    std::uint64_t u64();
    float f32();
    double f64();
    ServerId server();
    std::string_view text(std::size_t size);

  private:
    std::string_view bytes_;
    std::size_t position_ = 0;
};

// Like settings::parse(), but throws WireError.
Settings parse_settings(std::string_view text);

// Runs the directors of one process.
class DirectorHost {
  public:
    // Processes the content of one frame; returns the reply with its length in front. Throws WireError.
    std::string process_batch(std::string_view batch);

  private:
    struct Instance {
        Director director;
        int classes, tenants;  // numbers of them, to check requests
    };
    void process_record(Reader& in, Time now, std::string& out);
    Instance* find_instance(int instance_id);
    std::map<int, Instance> instances_;
    std::map<std::uint32_t, std::vector<ServerEntry>> lists_;
};

}  // namespace ivyfield::benchlink
