// Origins of relayed streams: who began one, and who may continue it.
#include <string>
#include <utility>
#include <vector>

#include "libnet/log.h"
#include "nutmegd/route_relay.h"

namespace nutmeghollow {

using net::BootTime;
using net::Log;
using net::LogLevel;

namespace {

constexpr int kStatusBadGateway = 502;

}  // namespace

bool RouteRelay::IsResumable() const {
  return m_route.m_streamed &&
         m_route.m_repeatability == Repeatability::kResumable;
}

void RouteRelay::DispatchResumption() {
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  m_state->m_streams->Find(
      StreamHashOf(m_request.m_resumed_attempt), m_service,
      [weak](const FoundOrigin& found) {
        const auto self = weak.lock();
        if (self == nullptr || self->m_done) {
          return;
        }
        Log(LogLevel::kInfo, "stream_origin",
            {{"request", self->m_request.m_id.str()},
             {"resumed_attempt", self->m_request.m_resumed_attempt.str()},
             {"known", found.m_origin.has_value()},
             {"source", std::string(found.m_source)},
             {"reads", std::int64_t{found.m_reads}}});
        if (!found.m_origin) {
          self->EndUnserved(kStatusBadGateway,
                            "the stream's software version is not known");
          return;
        }
        self->ContinueStreamOf(*found.m_origin);
      });
}

void RouteRelay::ContinueStreamOf(OriginHash origin) {
  const ServiceId service = m_state->m_pool.ServiceOf(origin);
  if (service.empty()) {
    EndUnserved(kStatusBadGateway,
                "no upstream has the stream's software version");
    return;
  }
  m_origin = origin;
  m_service = service;
  Dispatch(BootTime());
}

std::vector<StreamHash> RouteRelay::StreamIds() const {
  std::vector<StreamHash> ids;
  for (const PublicRequestId& id :
       {m_request.m_id, m_request.m_resumed_attempt}) {
    if (!id.empty()) {
      ids.push_back(StreamHashOf(id));
    }
  }
  return ids;
}

void RouteRelay::RecordOrigin() {
  m_origin = m_attempt->m_origin;
  if (!IsResumable()) {
    return;
  }
  m_holds_events = true;
  const std::weak_ptr<RouteRelay> weak = weak_from_this();
  m_state->m_streams->Record(StreamIds(), *m_origin, [weak] {
    if (const auto self = weak.lock()) {
      self->ForwardHeldEvents();
    }
  });
}

void RouteRelay::ForwardHeldEvents() {
  if (!std::exchange(m_holds_events, false) || m_held_events.empty()) {
    return;
  }
  BeginStream();
  WriteToCaller(std::exchange(m_held_events, {}));
}

bool RouteRelay::ContinuesStream() const {
  return IsResumable() &&
         (!m_deliverers.empty() || !m_request.m_resume_after.empty());
}

void RouteRelay::ConfirmUpstreams() {
  m_attempt->m_paused = true;
  if (std::exchange(m_attempt->m_confirming, true)) {
    return;
  }
  m_state->m_registration_reader->Read(
      [weak = weak_from_this(),
       number = m_attempt->m_number](const RegistrationReader::Rows* rows) {
        const auto self = weak.lock();
        if (self != nullptr && self->BringToFront(number)) {
          self->HandleRegistrations(rows);
        }
      });
}

void RouteRelay::HandleRegistrations(const RegistrationReader::Rows* rows) {
  if (const auto replaced = FindReplaced(rows)) {
    BreakOffUnknownStream(*replaced);
    return;
  }
  Attempt& attempt = *m_attempt;
  if (IsOtherSoftware(
          {attempt.m_upstream, attempt.m_start_time_ms, attempt.m_origin},
          rows)) {
    Log(LogLevel::kInfo, "resumed_at_other_software",
        {{"request", m_request.m_id.str()},
         {"upstream", attempt.m_upstream.str()}});
    m_state->m_pool.NoteReplaced(attempt.m_upstream, BootTime());
    FailAttempt(AttemptFailure::kBroken, AttemptHealth::kBroken);
    return;
  }
  attempt.m_confirmed = true;
  ResumeReading(attempt);
}

bool RouteRelay::IsOtherSoftware(const Deliverer& process,
                                 const RegistrationReader::Rows* rows) const {
  const RegisteredUpstream* registered =
      m_state->m_pool.Find(process.m_upstream);
  if (rows != nullptr) {
    const auto found = rows->find(process.m_upstream);
    registered = found == rows->end() ? nullptr : &found->second;
  }
  return registered != nullptr &&
         registered->m_start_time_ms != process.m_start_time_ms &&
         OriginOf(*registered) != process.m_origin;
}

std::optional<UpstreamId> RouteRelay::FindReplaced(
    const RegistrationReader::Rows* rows) const {
  for (const Deliverer& process : m_deliverers) {
    if (IsOtherSoftware(process, rows)) {
      return process.m_upstream;
    }
  }
  return std::nullopt;
}

void RouteRelay::ConfirmAndAbort(const char* reason) {
  m_ending = true;
  m_state->m_registration_reader->Read(
      [weak = weak_from_this(), reason](const RegistrationReader::Rows* rows) {
        const auto self = weak.lock();
        if (self == nullptr || self->m_done) {
          return;
        }
        if (const auto replaced = self->FindReplaced(rows)) {
          self->BreakOffUnknownStream(*replaced);
          return;
        }
        self->m_deliverers.clear();
        self->Abort(reason);
      });
}

void RouteRelay::BreakOffUnknownStream(const UpstreamId& upstream) {
  Log(LogLevel::kInfo, "stream_origin_unknown",
      {{"request", m_request.m_id.str()}, {"upstream", upstream.str()}});
  m_holds_events = false;
  m_held_events.clear();
  m_progress.m_may_have_run = true;
  m_ending = true;
  CancelAttempts(AttemptHealth::kBroken);
  CancelHop();
  m_origin = kUnknownOrigin;
  m_deliverers.clear();
  const auto end = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && !self->m_done) {
      self->EndUnserved(kStatusBadGateway,
                        "the stream's software version is not known");
    }
  };
  if (!IsResumable()) {
    end();
    return;
  }
  // The caller may resume the stream as soon as it ends.
  m_state->m_streams->Record(StreamIds(), kUnknownOrigin, end);
}

void RouteRelay::RecordStreamEnd(bool complete) {
  if (!IsResumable() || !m_origin) {
    return;
  }
  for (const StreamHash id : StreamIds()) {
    m_state->m_streams->Origins().End(id, complete, BootTime());
  }
}

}  // namespace nutmeghollow
