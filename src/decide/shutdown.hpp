// How a director ends that was told to (SIGTERM): until when it takes set-ups, by when it has answered what
// it took, and when it leaves. The figures are the platform's protocol's: it is killed no earlier than its
// longest deadline (at most 3 s of it) and 0.7 s later, and until 0.7 s requests still come. No I/O, no
// clock.
#pragma once

#include <cstddef>

#include "ivyfield/director.hpp"

namespace ivyfield::decide {

// What a director that ends still has to do, as far as it matters here.
struct Unfinished {
    std::size_t owed = 0;  // set-ups without an answer
    bool unsent = false;   // something written has not left yet
    Time heard = 0;        // when something last came from viewers
};

class Shutdown {
  public:
    Shutdown(const Settings& settings, Time asked);
    // What comes later is refused; trying again elsewhere is harmless.
    Time take_until() const;
    // What is still unanswered then is given up: nobody would answer it after the kill.
    Time answer_by() const;
    // True: nothing is left to do, or no time to do it.
    bool leaves(Time now, const Unfinished& left) const;

  private:
    Time asked_, killed_;
};

}  // namespace ivyfield::decide
