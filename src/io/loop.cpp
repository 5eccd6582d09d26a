// Addresses and the timer handle, alike on every loop.
#include "io/loop.hpp"

#include <charconv>
#include <stdexcept>

namespace ivyfield::io {

std::string Address::text() const {
    const bool six = host.find(':') != std::string::npos;
    return (six ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Address Address::parse(std::string_view text) {
    const auto fail = [&](const char* why) -> std::invalid_argument {
        return std::invalid_argument("address \"" + std::string(text) + "\": " + why);
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) throw fail("no port; wanted like 127.0.0.1:8080");
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (!host.empty() && host.front() == '[') {
        if (host.back() != ']') throw fail("'[' without ']'");
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        throw fail("an IPv6 address stands in brackets, like [::1]:8080");
    }
    if (host.empty()) throw fail("no host");
    unsigned value = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), value);
    if (error != std::errc() || end != port.data() + port.size() || value > 65535)
        throw fail("the port is not a number from 0 to 65535");
    return Address{std::string(host), static_cast<std::uint16_t>(value)};
}

const char* name(CloseReason why) {
    switch (why) {
        case CloseReason::refused:
            return "refused";
        case CloseReason::unreachable:
            return "unreachable";
        case CloseReason::no_resources:
            return "no resources";
        case CloseReason::reset:
            return "reset";
        case CloseReason::clean:
            return "clean";
    }
    return "?";
}

Timer& Timer::operator=(Timer&& other) noexcept {
    if (this != &other) {
        stop();
        loop_ = other.loop_, id_ = other.id_;
        other.loop_ = nullptr;
    }
    return *this;
}
void Timer::stop() {
    if (loop_) loop_->cancel(id_);
    loop_ = nullptr;
}

}  // namespace ivyfield::io
