// The queue of timers that both loops use, so that order at equal times is the same on each.
#pragma once

#include <map>
#include <unordered_map>

#include "io/loop.hpp"

namespace ivyfield::io {

class TimerQueue {
  public:
    std::uint64_t add(Time when, Loop::Task task) {
        const std::uint64_t id = ++last_;
        queue_.emplace(std::make_pair(when, id), std::move(task));
        when_.emplace(id, when);
        return id;
    }
    void cancel(std::uint64_t id) {
        const auto it = when_.find(id);
        if (it == when_.end()) return;
        queue_.erase({it->second, id});
        when_.erase(it);
    }
    bool empty() const { return queue_.empty(); }
    std::size_t size() const { return queue_.size(); }
    Time first_due() const { return queue_.begin()->first.first; }
    // The next task due, of those added before `before` (a mark from last_id()); empty when there is none.
    Loop::Task take_due(Time now, std::uint64_t before) {
        if (queue_.empty()) return {};
        const auto it = queue_.begin();
        if (it->first.first > now || it->first.second > before) return {};
        Loop::Task task = std::move(it->second);
        when_.erase(it->first.second);
        queue_.erase(it);
        return task;
    }
    std::uint64_t last_id() const { return last_; }

  private:
    std::uint64_t last_ = 0;
    std::map<std::pair<Time, std::uint64_t>, Loop::Task> queue_;
    std::unordered_map<std::uint64_t, Time> when_;  // looked up by id only, never walked
};

}  // namespace ivyfield::io
