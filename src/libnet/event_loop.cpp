#include "libnet/event_loop.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace nutmeghollow::net {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::int64_t ReadClock(clockid_t clock, std::int64_t units_per_second) {
  timespec time{};
  clock_gettime(clock, &time);
  const std::int64_t nanoseconds_per_unit = 1'000'000'000 / units_per_second;
  return time.tv_sec * units_per_second + time.tv_nsec / nanoseconds_per_unit;
}

}  // namespace

Timer::Timer(struct ev_loop* loop, std::function<void()> callback)
    : m_loop(loop), m_callback(std::move(callback)) {
  ev_init(&m_watcher, OnTimer);
  m_watcher.data = this;
}

Timer::~Timer() {
  Stop();
}

void Timer::Start(Duration delay) {
  Stop();
  ev_now_update(m_loop);
  ev_timer_set(&m_watcher, Seconds(delay), 0.0);
  ev_timer_start(m_loop, &m_watcher);
}

void Timer::StartRepeating(Duration interval) {
  Stop();
  ev_timer_set(&m_watcher, Seconds(interval), Seconds(interval));
  ev_timer_start(m_loop, &m_watcher);
}

void Timer::Stop() {
  ev_timer_stop(m_loop, &m_watcher);
}

bool Timer::Active() const {
  return ev_is_active(&m_watcher) != 0;
}

void Timer::OnTimer(struct ev_loop* /*loop*/,
                    ev_timer* watcher,
                    int /*events*/) {
  static_cast<Timer*>(watcher->data)->m_callback();
}

DescriptorWatcher::DescriptorWatcher(struct ev_loop* loop,
                                     int descriptor,
                                     int events,
                                     std::function<void(int)> callback)
    : m_loop(loop), m_callback(std::move(callback)) {
  ev_io_init(&m_watcher, OnReady, descriptor, events);
  m_watcher.data = this;
  ev_io_start(m_loop, &m_watcher);
}

DescriptorWatcher::~DescriptorWatcher() {
  ev_io_stop(m_loop, &m_watcher);
}

void DescriptorWatcher::SetEvents(int events) {
  ev_io_stop(m_loop, &m_watcher);
  ev_io_set(&m_watcher, m_watcher.fd, events);
  if (events != 0) {
    ev_io_start(m_loop, &m_watcher);
  }
}

void DescriptorWatcher::OnReady(struct ev_loop* /*loop*/,
                                ev_io* watcher,
                                int events) {
  static_cast<DescriptorWatcher*>(watcher->data)->m_callback(events);
}

SignalWatcher::SignalWatcher(struct ev_loop* loop,
                             int signal_number,
                             std::function<void()> callback)
    : m_loop(loop), m_callback(std::move(callback)) {
  ev_signal_init(&m_watcher, OnSignal, signal_number);
  m_watcher.data = this;
  ev_signal_start(m_loop, &m_watcher);
  ev_unref(m_loop);
}

SignalWatcher::~SignalWatcher() {
  ev_ref(m_loop);
  ev_signal_stop(m_loop, &m_watcher);
}

void SignalWatcher::OnSignal(struct ev_loop* /*loop*/,
                             ev_signal* watcher,
                             int /*events*/) {
  static_cast<SignalWatcher*>(watcher->data)->m_callback();
}

PrepareWatcher::PrepareWatcher(struct ev_loop* loop,
                               std::function<void()> callback)
    : m_loop(loop), m_callback(std::move(callback)) {
  ev_prepare_init(&m_watcher, OnPrepare);
  m_watcher.data = this;
  ev_prepare_start(m_loop, &m_watcher);
  ev_unref(m_loop);
}

PrepareWatcher::~PrepareWatcher() {
  ev_ref(m_loop);
  ev_prepare_stop(m_loop, &m_watcher);
}

void PrepareWatcher::OnPrepare(struct ev_loop* /*loop*/,
                               ev_prepare* watcher,
                               int /*events*/) {
  static_cast<PrepareWatcher*>(watcher->data)->m_callback();
}

TimePoint BootTime() {
  return TimePoint(Duration(ReadClock(CLOCK_BOOTTIME, 1'000'000)));
}

WallTime WallClockTime() {
  return WallTime(ReadClock(CLOCK_REALTIME, 1'000));
}

}  // namespace nutmeghollow::net
