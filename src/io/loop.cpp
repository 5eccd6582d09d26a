// Addresses and the timer handle, shared by all loop implementations.
#include "io/loop.hpp"

#include <charconv>
#include <stdexcept>

namespace ivyfield::io {

std::string Address::text() const {
    const bool is_ipv6 = host.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

Address Address::parse(std::string_view text) {
    const auto fail = [&](const char* reason) -> std::invalid_argument {
        return std::invalid_argument("address \"" + std::string(text) + "\": " + reason);
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw fail("no port; expected HOST:PORT, for example 127.0.0.1:8080");
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (!host.empty() && host.front() == '[') {
        if (host.back() != ']') throw fail("'[' without ']'");
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        throw fail("an IPv6 address must be in brackets, for example [::1]:8080");
    }
    if (host.empty()) throw fail("no host");
    unsigned value = 0;
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), value);
    if (error != std::errc() || end != port.data() + port.size() || value > 65535)
        throw fail("the port must be a number from 0 to 65535");
    return Address{std::string(host), static_cast<std::uint16_t>(value)};
}

const char* name(CloseStatus close_status) {
    switch (close_status) {
        case CloseStatus::refused:
            return "refused";
        case CloseStatus::unreachable:
            return "unreachable";
        case CloseStatus::no_resources:
            return "no resources";
        case CloseStatus::reset:
            return "reset";
        case CloseStatus::clean:
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
