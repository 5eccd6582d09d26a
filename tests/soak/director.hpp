// Runs one director as the platform does: a process of its own that is signalled, killed at its deadline and
// restarted under the same name and address.
#pragma once

#include <signal.h>

#include <memory>
#include <optional>

#include "io/ev/child.hpp"
#include "io/loop.hpp"
#include "tests/soak/ledger.hpp"

namespace ivyfield::soak {

// The platform's kill comes no earlier than this after SIGTERM: the longest deadline, of which 3 s count, and
// 0.7 s.
constexpr Time kKillAfterTerm = 3000 + 700;

// One director and its restarts; each start() begins a new incarnation. Unexpected ends go to the ledger.
class DirectorProcess {
  public:
    DirectorProcess(io::Loop& loop, int index, std::string folder, io::Address address, Ledger& ledger)
        : loop_(loop),
          index_(index),
          folder_(std::move(folder)),
          address_(std::move(address)),
          ledger_(ledger) {}

    const io::Address& address() const { return address_; }
    int index() const { return index_; }
    int incarnation() const { return incarnation_; }
    bool running() { return child_ && child_->running(); }
    bool killed() const { return killed_; }
    std::optional<Time> term_at() const { return term_at_; }
    std::string config_path() const { return folder_ + "/config-" + std::to_string(index_) + ".json"; }
    std::string log_path() const { return folder_ + "/n" + std::to_string(index_) + ".log"; }

    void start(const std::string& config) {
        incarnation_ += 1;
        killed_ = false;
        term_at_.reset();
        io::write_file(config_path(), config);
        const std::string name = "n" + std::to_string(index_);
        child_ = std::make_unique<io::Child>(
            std::vector<std::string>{"/usr/bin/env", "RELAY_NAME=" + name, "RELAY_LISTEN=" + address_.text(),
                                     "RELAY_CONFIG=" + config_path(), IVYFIELD_PROGRAM_PATH, "relay"},
            log_path());
    }
    void reload(const std::string& config) {
        io::write_file(config_path() + ".new", config);
        ::rename((config_path() + ".new").c_str(), config_path().c_str());
        child_->signal(SIGHUP);
    }
    void term() {
        if (!term_at_) term_at_ = loop_.now();
        child_->signal(SIGTERM);
    }
    void stall(bool on) { child_->stall(on); }
    // As in a crash of its machine, without any notice.
    void kill_outright() {
        killed_ = true;
        child_->kill();
    }
    // Returns true once the process has ended; kills it at its deadline.
    bool gone() {
        if (running()) {
            if (!term_at_ || loop_.now() < *term_at_ + kKillAfterTerm) return false;
            child_->kill();
            return true;
        }
        if (!killed_ && child_ && child_->exit_code() != 0)
            ledger_.fault("crash: director " + std::to_string(index_) + " ended with code " +
                          std::to_string(child_->exit_code()));
        if (!killed_ && !term_at_)
            ledger_.fault("crash: director " + std::to_string(index_) + " ended without a signal");
        return true;
    }

  private:
    io::Loop& loop_;
    const int index_;
    const std::string folder_;
    const io::Address address_;
    Ledger& ledger_;
    std::unique_ptr<io::Child> child_;
    int incarnation_ = 0;
    bool killed_ = false;
    std::optional<Time> term_at_;
};

}  // namespace ivyfield::soak
