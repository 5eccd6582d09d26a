// The timer queue used by both loops, so that timers due at the same time run in the same order on each.
#pragma once

#include <map>
#include <unordered_map>

#include "io/loop.hpp"

namespace ivyfield::io {

// Tasks ordered by due time, then by insertion.
class TimerQueue {
  public:
    std::uint64_t add(Time when, Loop::Task task) {
        const std::uint64_t id = ++last_id_;
        queue_.emplace(std::make_pair(when, id), std::move(task));
        due_times_.emplace(id, when);
        return id;
    }
    void cancel(std::uint64_t id) {
        const auto it = due_times_.find(id);
        if (it == due_times_.end()) return;
        queue_.erase({it->second, id});
        due_times_.erase(it);
    }
    bool empty() const { return queue_.empty(); }
    std::size_t size() const { return queue_.size(); }
    Time first_due() const { return queue_.begin()->first.first; }
    // Removes and returns the first task due at `now` whose id is at most `max_id`, which excludes tasks
    // added after last_id() returned that value. Returns an empty task if there is none.
    Loop::Task take_due(Time now, std::uint64_t max_id) {
        if (queue_.empty()) return {};
        const auto it = queue_.begin();
        if (it->first.first > now || it->first.second > max_id) return {};
        Loop::Task task = std::move(it->second);
        due_times_.erase(it->first.second);
        queue_.erase(it);
        return task;
    }
    std::uint64_t last_id() const { return last_id_; }

  private:
    std::uint64_t last_id_ = 0;
    std::map<std::pair<Time, std::uint64_t>, Loop::Task> queue_;
    std::unordered_map<std::uint64_t, Time> due_times_;  // by id; never iterated, so its order has no effect
};

}  // namespace ivyfield::io
