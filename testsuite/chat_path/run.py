"""Chats through one instance to one engine, and rejected requests."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Fleet, check, http_call, run_case  # noqa: E402

CUSTOMER_HEADERS = {"Authorization": "Bearer token-customer-a",
                    "Content-Type": "application/json"}
CHAT = {"model": "model-a",
        "messages": [{"role": "user", "content": "How long is a sleeve?"}]}

# Name, method, path, headers, body, expected status.
REJECTED_REQUESTS = [
    ("no token", "POST", "/v1/chat/completions", {}, CHAT, 401),
    ("wrong token", "POST", "/v1/chat/completions",
     {"Authorization": "Bearer nobody"}, CHAT, 401),
    ("malformed JSON", "POST", "/v1/chat/completions", CUSTOMER_HEADERS,
     "{oops", 400),
    ("no messages", "POST", "/v1/chat/completions", CUSTOMER_HEADERS,
     {"model": "model-a"}, 400),
    ("unknown model", "POST", "/v1/chat/completions", CUSTOMER_HEADERS,
     {**CHAT, "model": "none"}, 404),
    ("unknown service", "POST", "/v1/services/none/x", CUSTOMER_HEADERS, "{}",
     404),
    ("body above the limit", "POST", "/v1/chat/completions", CUSTOMER_HEADERS,
     "x" * ((8 << 20) + 1), 413),
    ("header above the limit", "GET", "/v1/models",
     {**CUSTOMER_HEADERS, "X-Long": "x" * (64 << 10)}, None, 431),
    ("unknown path", "GET", "/v1/nothing", CUSTOMER_HEADERS, None, 404),
]


def check_unstreamed(address):
    status, headers, text = http_call(address, "POST", "/v1/chat/completions",
                                      CHAT, CUSTOMER_HEADERS)
    check(status == 200, f"unstreamed chat: {status} {text}")
    check(headers.get("Nutmeg-Outcome") == "completed", f"outcome: {headers}")
    check("X-Request-Id" in headers, f"no request id: {headers}")
    content = json.loads(text)["choices"][0]["message"]["content"]
    check(len(content) > 20, f"content: {text}")
    return content


def check_streamed(address, expected):
    status, headers, text = http_call(
        address, "POST", "/v1/chat/completions", {**CHAT, "stream": True},
        CUSTOMER_HEADERS)
    check(status == 200, f"streamed chat: {status} {text}")
    check(headers["Content-Type"].startswith("text/event-stream"),
          f"content type: {headers}")
    events = [event[len("data: "):] for event in text.split("\n\n") if event]
    check(events[-1] == "[DONE]", f"last event: {events[-1]}")
    chunks = [json.loads(event) for event in events[:-1]]
    content = "".join(choice["delta"].get("content", "")
                      for chunk in chunks for choice in chunk["choices"])
    check(content == expected,
          f"streamed {content!r}, unstreamed {expected!r}")


def check_rejected(address):
    for name, method, path, headers, body, expected in REJECTED_REQUESTS:
        status, received, text = http_call(address, method, path, body,
                                           headers)
        check(status == expected, f"{name}: {status} instead of {expected}: "
              f"{text[:200]}")
        error = json.loads(text)["error"]
        check(error["message"] and error["type"],
              f"{name}: no error in the chat API's format: {text}")
        check(received.get("Content-Type") == "application/problem+json",
              f"{name}: {received}")
        check(received.get("Nutmeg-Outcome") == "not-run",
              f"{name}: {received}")
        check(json.loads(text)["status"] == expected, f"{name}: {text}")


def check_large_body(address):
    """A body just below the size limit is accepted."""
    chat = {**CHAT, "messages": [{"role": "user", "content": "x" * (8 << 20)}]}
    chat["messages"][0]["content"] = "x" * ((8 << 20) - len(json.dumps(CHAT)) -
                                            100)
    status, _, text = http_call(address, "POST", "/v1/chat/completions", chat,
                                CUSTOMER_HEADERS, timeout=300)
    check(status == 200, f"large body: {status} {text[:200]}")


def main(arguments):
    with Fleet(arguments.build, "chat_path", instances=1, engines=1,
               engine_flags=["--prefill_rate=1e9"]) as fleet:
        fleet.configure()
        fleet.wait_ready()
        address = fleet.m_instances[0].m_address
        entry = json.loads(http_call(address, "GET",
                                     "/v1/entry?chat=c1&model=model-a")[2])
        check(entry["addresses"] == [address], f"entry: {entry}")
        check(entry["keep_ms"] > 0 and entry["revision"] > 0,
              f"entry: {entry}")
        models = json.loads(http_call(address, "GET", "/v1/models",
                                      headers=CUSTOMER_HEADERS)[2])
        check([m["id"] for m in models["data"]] == ["model-a"], f"{models}")
        content = check_unstreamed(address)
        check_streamed(address, content)
        check_rejected(address)
        check_large_body(address)
        check_unstreamed(address)
        status, _, text = http_call(address, "GET", "/metrics")
        check(status == 200 and "nutmeg_requests_total" in text, "metrics")


run_case(main)
