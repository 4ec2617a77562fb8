#include "nutmegload/workload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace nutmeghollow::load {
namespace {

constexpr double kNewChatShare = 0.1;
constexpr double kLongPauseShare = 0.2;
constexpr int kLongPauseFactor = 5;
constexpr int kSystemBytes = 800;
constexpr int kServiceBodyBytes = 120;

/// Sizes of the messages and answers of one kind of chat.
struct ChatSizes {
  int m_first_shortest;
  int m_first_longest;
  int m_turn_shortest;
  int m_turn_longest;
  int m_answer_fewest;
  int m_answer_most;
};

constexpr ChatSizes kLongSizes{6000, 18000, 200, 800, 40, 80};
constexpr ChatSizes kShortSizes{200, 600, 60, 200, 8, 24};

// Every chat of a customer starts with the same instructions.
std::string SystemText(const std::string& customer) {
  std::string text;
  while (text.size() < kSystemBytes) {
    text += "Instructions of " + customer + ". ";
  }
  return text;
}

}  // namespace

const char* CallKindName(CallKind kind) {
  switch (kind) {
    case CallKind::kLong:
      return "long";
    case CallKind::kShort:
      return "short";
    case CallKind::kLabel:
      return "label";
    case CallKind::kService:
      return "service";
    case CallKind::kCrash:
      return "crash";
    case CallKind::kCount:
      break;
  }
  return "unknown";
}

Workload::Workload(const WorkloadOptions& options)
    : m_options(options), m_random(options.m_seed) {}

PlannedCall Workload::Next(TimePoint now, bool surge) {
  const std::string customer = DrawCustomer(surge);
  const CallKind kind = DrawKind();
  PlannedCall call;
  if (kind == CallKind::kLabel) {
    call = LabelCall(customer);
  } else if (kind == CallKind::kService && !m_options.m_services.empty()) {
    call = ServiceCall(customer);
  } else {
    call = ChatCall(kind == CallKind::kLong ? kind : CallKind::kShort, customer,
                    now);
  }
  call.m_number = ++m_calls;
  return call;
}

PlannedCall Workload::NextCrash() {
  PlannedCall call = LabelCall(DrawCustomer(false));
  call.m_kind = CallKind::kCrash;
  call.m_number = ++m_calls;
  call.m_messages.back().m_content += standins::kCrashMarker;
  return call;
}

void Workload::Finish(const PlannedCall& call,
                      const std::string& answer,
                      TimePoint now) {
  if (call.m_chat == nullptr) {
    return;
  }
  if (!answer.empty()) {
    call.m_chat->m_messages = call.m_messages;
    call.m_chat->m_messages.push_back({"assistant", answer});
    ++call.m_chat->m_turns;
  }
  if (call.m_chat->m_turns >= m_options.m_turns) {
    return;
  }
  const bool is_long = DrawFraction() < kLongPauseShare;
  call.m_chat->m_ready_at =
      now + DrawPause(m_options.m_pause * (is_long ? kLongPauseFactor : 1));
  m_resting.push_back(call.m_chat);
}

Duration Workload::DrawPause(Duration mean) {
  std::exponential_distribution<double> draw(1.0);
  return std::chrono::duration_cast<Duration>(mean * draw(m_random));
}

std::string Workload::DrawCustomer(bool surge) {
  if (surge && DrawFraction() < 0.5) {
    return m_options.m_surge_customer;
  }
  double total = 0.0;
  for (const auto& customer : m_options.m_customers) {
    total += customer.m_weight;
  }
  double drawn = DrawFraction() * total;
  for (const auto& customer : m_options.m_customers) {
    drawn -= customer.m_weight;
    if (drawn < 0.0) {
      return customer.m_name;
    }
  }
  return m_options.m_customers.back().m_name;
}

CallKind Workload::DrawKind() {
  double total = 0.0;
  for (const auto& [kind, share] : m_options.m_mix) {
    total += share;
  }
  double drawn = DrawFraction() * total;
  for (const auto& [kind, share] : m_options.m_mix) {
    drawn -= share;
    if (drawn < 0.0) {
      return kind;
    }
  }
  return CallKind::kShort;
}

std::shared_ptr<Chat> Workload::PickChat(CallKind kind,
                                         const std::string& customer,
                                         TimePoint now) {
  auto found = std::find_if(m_resting.begin(), m_resting.end(),
                            [&](const std::shared_ptr<Chat>& chat) {
                              return chat->m_kind == kind &&
                                     chat->m_customer == customer &&
                                     chat->m_ready_at <= now;
                            });
  if (found != m_resting.end() && DrawFraction() >= kNewChatShare) {
    auto chat = *found;
    m_resting.erase(found);
    return chat;
  }
  const ChatSizes& sizes = kind == CallKind::kLong ? kLongSizes : kShortSizes;
  auto chat = std::make_shared<Chat>();
  chat->m_id = "chat-" + std::to_string(m_options.m_seed) + "-" +
               std::to_string(++m_chats);
  chat->m_customer = customer;
  chat->m_kind = kind;
  chat->m_model = m_options.m_models[m_chats % m_options.m_models.size()];
  chat->m_messages.push_back({"system", SystemText(customer)});
  chat->m_messages.push_back(
      {"user", chat->m_id + " " +
                   DrawText(sizes.m_first_shortest, sizes.m_first_longest)});
  chat->m_messages.push_back({"assistant", "Noted."});
  return chat;
}

PlannedCall Workload::ChatCall(CallKind kind,
                               const std::string& customer,
                               TimePoint now) {
  const ChatSizes& sizes = kind == CallKind::kLong ? kLongSizes : kShortSizes;
  PlannedCall call;
  call.m_kind = kind;
  call.m_customer = customer;
  call.m_chat = PickChat(kind, customer, now);
  call.m_model = call.m_chat->m_model;
  call.m_messages = call.m_chat->m_messages;
  call.m_messages.push_back(
      {"user", DrawText(sizes.m_turn_shortest, sizes.m_turn_longest)});
  call.m_answer_tokens = DrawNumber(sizes.m_answer_fewest, sizes.m_answer_most);
  call.m_body = ChatBody(call);
  return call;
}

PlannedCall Workload::LabelCall(const std::string& customer) {
  PlannedCall call;
  call.m_kind = CallKind::kLabel;
  call.m_customer = customer;
  call.m_model = m_options.m_models.front();
  call.m_streamed = false;
  call.m_messages.push_back({"user", "label " + DrawText(40, 160)});
  call.m_answer_tokens = DrawNumber(3, 8);
  return call;
}

PlannedCall Workload::ServiceCall(const std::string& customer) {
  PlannedCall call;
  call.m_kind = CallKind::kService;
  call.m_customer = customer;
  call.m_streamed = false;
  call.m_service = m_options.m_services[m_calls % m_options.m_services.size()];
  call.m_idempotency_key =
      "key-" + std::to_string(m_options.m_seed) + "-" + std::to_string(m_calls);
  call.m_body =
      nlohmann::json{{"order", DrawText(kServiceBodyBytes, kServiceBodyBytes)}}
          .dump();
  return call;
}

std::string Workload::DrawText(int shortest, int longest) {
  constexpr int kLetters = 26;
  const int size =
      static_cast<int>(DrawNumber(shortest, longest) * m_options.m_size_factor);
  std::string text(std::max(size, 1), ' ');
  for (char& letter : text) {
    letter = static_cast<char>('a' + m_random() % kLetters);
  }
  return text;
}

int Workload::DrawNumber(int lowest, int highest) {
  std::uniform_int_distribution<int> draw(lowest, highest);
  return draw(m_random);
}

double Workload::DrawFraction() {
  std::uniform_real_distribution<double> draw(0.0, 1.0);
  return draw(m_random);
}

std::string ChatBody(const PlannedCall& call) {
  auto messages = nlohmann::json::array();
  for (const auto& message : call.m_messages) {
    messages.push_back(
        {{"role", message.m_role}, {"content", message.m_content}});
  }
  return nlohmann::json{{"model", call.m_model},
                        {"messages", messages},
                        {"stream", call.m_streamed},
                        {"max_tokens", call.m_answer_tokens}}
      .dump();
}

}  // namespace nutmeghollow::load
