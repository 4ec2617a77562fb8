/// @file
/// Watchers of a libev event loop, and clocks.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Calls a function after a delay, once or repeatedly, until it is destroyed.
class Timer {
 public:
  Timer(struct ev_loop* loop, std::function<void()> callback);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Runs the callback once after `delay`; cancels an earlier start.
  void Start(Duration delay);
  /// Runs the callback every `interval`; cancels an earlier start.
  void StartRepeating(Duration interval);
  void Stop();
  bool Active() const;

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* watcher, int events);

  struct ev_loop* m_loop;
  ev_timer m_watcher{};
  std::function<void()> m_callback;
};

/// Calls a function whenever a descriptor is ready, until it is destroyed.
class DescriptorWatcher {
 public:
  DescriptorWatcher(struct ev_loop* loop,
                    int descriptor,
                    int events,
                    std::function<void(int events)> callback);
  ~DescriptorWatcher();
  DescriptorWatcher(const DescriptorWatcher&) = delete;
  DescriptorWatcher& operator=(const DescriptorWatcher&) = delete;

  /// Replaces the watched events.
  /// @param events EV_READ, EV_WRITE, both, or 0 to watch none.
  void SetEvents(int events);

 private:
  static void OnReady(struct ev_loop* loop, ev_io* watcher, int events);

  struct ev_loop* m_loop;
  ev_io m_watcher{};
  std::function<void(int)> m_callback;
};

/// Calls a function when the process receives a signal.
class SignalWatcher {
 public:
  SignalWatcher(struct ev_loop* loop,
                int signal_number,
                std::function<void()> callback);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  static void OnSignal(struct ev_loop* loop, ev_signal* watcher, int events);

  struct ev_loop* m_loop;
  ev_signal m_watcher{};
  std::function<void()> m_callback;
};

/// Calls a function once per iteration of the loop, before it waits for events.
class PrepareWatcher {
 public:
  PrepareWatcher(struct ev_loop* loop, std::function<void()> callback);
  ~PrepareWatcher();
  PrepareWatcher(const PrepareWatcher&) = delete;
  PrepareWatcher& operator=(const PrepareWatcher&) = delete;

 private:
  static void OnPrepare(struct ev_loop* loop, ev_prepare* watcher, int events);

  struct ev_loop* m_loop;
  ev_prepare m_watcher{};
  std::function<void()> m_callback;
};

/// @return the time of CLOCK_BOOTTIME, which continues while the system is
/// suspended.
TimePoint BootTime();

/// @return the wall-clock time, from CLOCK_REALTIME.
WallTime WallClockTime();

}  // namespace nutmeghollow::net
