// The wire of the bench: frames to events, actions to frames. It only translates.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ivyfield/director.hpp"

namespace ivyfield::benchlink {

struct WireError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads fixed-width little-endian fields; throws WireError past the end.
class Reader {
  public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    bool done() const { return at_ == bytes_.size(); }
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
    std::size_t at_ = 0;
};

// As settings::parse, with its faults as faults of the wire.
Settings parse_settings(std::string_view text);

// Hosts the directors of one process. One frame's content in, one reply with its length out.
class Host {
  public:
    std::string reply(std::string_view batch);

  private:
    struct Instance {
        Director director;
        int classes, tenants;
    };
    void record(Reader& in, Time now, std::string& out);
    Instance* find(int number);
    std::map<int, Instance> instances_;
    std::map<std::uint32_t, std::vector<ServerEntry>> lists_;
};

}  // namespace ivyfield::benchlink
