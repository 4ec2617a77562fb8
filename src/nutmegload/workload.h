/// @file
/// What the callers do: customers, returning chats, single calls, surges.
#pragma once

#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "nutmeghollow/types.h"
#include "standins/answer.h"

namespace nutmeghollow::load {

/// A customer and its share of the calls.
struct CustomerShare {
  std::string m_name;
  double m_weight = 1.0;
};

/// Kinds of calls.
enum class CallKind {
  kLong,     ///< Chat with a long history, streamed.
  kShort,    ///< Chat with a short history, streamed.
  kLabel,    ///< One small question, answered whole.
  kService,  ///< Call of a plain service that must not run twice.
  kCrash,    ///< Chat that crashes the engine which runs it.
  kCount,
};

/// @return the name of a kind in the results.
const char* CallKindName(CallKind kind);

/// Shape of the load.
struct WorkloadOptions {
  std::uint64_t m_seed = 1;
  std::vector<std::string> m_models{"model-a"};
  std::vector<std::string> m_services;
  std::vector<CustomerShare> m_customers;
  std::map<CallKind, double> m_mix;
  Duration m_pause = std::chrono::seconds(3);  ///< Mean pause of a chat.
  int m_turns = 12;                            ///< Turns of a chat.
  double m_size_factor = 1.0;  ///< Multiplies the size of histories.
  /// While a surge lasts this customer sends half of all calls.
  std::string m_surge_customer;
};

/// A chat that returns with a growing history.
struct Chat {
  std::string m_id;
  std::string m_customer;
  std::string m_model;
  CallKind m_kind = CallKind::kShort;
  std::vector<standins::ChatMessage> m_messages;
  int m_turns = 0;
  TimePoint m_ready_at{};
};

/// One call to make.
struct PlannedCall {
  CallKind m_kind = CallKind::kShort;
  std::uint64_t m_number = 0;
  std::string m_customer;
  std::string m_model;
  std::shared_ptr<Chat> m_chat;
  std::vector<standins::ChatMessage> m_messages;
  int m_answer_tokens = 0;
  bool m_streamed = true;
  std::string m_service;
  std::string m_idempotency_key;
  std::string m_body;
};

/// Draws calls from a seed.
class Workload {
 public:
  explicit Workload(const WorkloadOptions& options);

  /// @param surge whether the surge lasts.
  /// @return the next call.
  PlannedCall Next(TimePoint now, bool surge);
  /// @return a call that crashes engines.
  PlannedCall NextCrash();
  /// Lets the chat of a call rest, with the answer in its history.
  /// @param answer empty when there was none.
  void Finish(const PlannedCall& call,
              const std::string& answer,
              TimePoint now);

  /// @return a draw from an exponential distribution.
  Duration DrawPause(Duration mean);

 private:
  std::string DrawCustomer(bool surge);
  CallKind DrawKind();
  std::shared_ptr<Chat> PickChat(CallKind kind,
                                 const std::string& customer,
                                 TimePoint now);
  PlannedCall ChatCall(CallKind kind,
                       const std::string& customer,
                       TimePoint now);
  PlannedCall LabelCall(const std::string& customer);
  PlannedCall ServiceCall(const std::string& customer);
  std::string DrawText(int shortest, int longest);
  int DrawNumber(int lowest, int highest);
  double DrawFraction();

  WorkloadOptions m_options;
  std::mt19937_64 m_random;
  std::uint64_t m_calls = 0;
  std::uint64_t m_chats = 0;
  std::list<std::shared_ptr<Chat>> m_resting;
};

/// Writes the body of a chat call.
std::string ChatBody(const PlannedCall& call);

}  // namespace nutmeghollow::load
