"""Many callers that send large, endless or unfinished bodies to a chats'
instance, at its callers', operators' and peers' addresses.

Most of them stop just before the end of the body and keep the connection open.
Each crowd meets a process of its own. Guards against a process that stores all
these bodies and runs out of memory: checks that the process lives, that its
memory and descriptors stay below fixed bounds, and that it serves an ordinary
request beside the crowd and a single large one after it.
"""

import json
import os
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "platform", "testing"))
import large_bodies_case as bodies  # noqa: E402
from harness import (CaseFailure, Fleet, check, http_call,  # noqa: E402
                     run_case, wait_until)

BODY_LIMIT_BYTES = 1 << 20
CLIENTS = bodies.CLIENTS
# The operators' address has a fixed limit of 8 MiB; a body that is far over it
# ends here. Fewer clients keep the test's own machine from running out.
OPERATOR_FAR_OVER_BYTES = 12 << 20
OPERATOR_FAR_OVER_CLIENTS = 40
# The smallest machine: 160 MB. The rest is for the system.
MEMORY_MB = bodies.MEMORY_MB
MAX_RESIDENT_BYTES = bodies.MAX_RESIDENT_BYTES
MAX_DESCRIPTORS = bodies.MAX_DESCRIPTORS
READY_SECONDS = 20
# Of /proc/net/tcp: established, and closed by the other side.
HELD_STATES = ("01", "08")
# Prompt tokens per second: a chat of the limit's size must not take long.
PREFILL_RATE = 10_000_000
CUSTOMER_HEADERS = {"Authorization": "Bearer token-customer-a"}
CHAT_START = b'{"model":"model-a","messages":[{"role":"user","content":"'
CHAT_END = b'"}]}'


class Instance:
    """The process as the functions of large_bodies_case expect it."""

    def __init__(self, member):
        self.m_member = member
        self.m_process = member.m_process.m_popen


def caller_head(*fields):
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: nutmeg.example",
             "Content-Type: application/json",
             "Authorization: Bearer token-customer-a", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def operator_head(*fields):
    """A change without an operator's token."""
    lines = ["PUT /v1/config/priority/crowd HTTP/1.1", "Host: nutmeg.example",
             "Content-Type: application/json", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def whole_chat(size):
    """Returns the pieces of a valid chat request of this size."""
    filler = size - len(CHAT_START) - len(CHAT_END)
    yield caller_head(f"Content-Length: {size}")
    yield CHAT_START
    for sent in range(0, filler, len(bodies.BLOCK)):
        yield bodies.BLOCK[:min(len(bodies.BLOCK), filler - sent)]
    yield CHAT_END


def serves_chat(instance, size):
    """Returns whether one of several attempts gets the response."""
    filler = max(1, size - len(CHAT_START) - len(CHAT_END))
    body = CHAT_START + b"x" * filler + CHAT_END
    for _ in range(bodies.ORDINARY_ATTEMPTS):
        status, _, text = http_call(
            instance.m_member.m_address, "POST", "/v1/chat/completions", body,
            {"Content-Type": "application/json", **CUSTOMER_HEADERS},
            timeout=10)
        if status == 200 and "choices" in json.loads(text):
            return True
        time.sleep(0.3)
    return False


def serves_operator(fleet):
    for _ in range(bodies.ORDINARY_ATTEMPTS):
        if fleet.ctl("revision")[0] == 0:
            return True
        time.sleep(0.3)
    return False


def connections(address):
    """Returns the connections that a process still holds at its address.

    Descriptors do not tell: idle connections to the engine stay open.
    """
    ip, port = address.split(":")
    word = struct.unpack("<I", socket.inet_aton(ip))[0]
    local = f"{word:08X}:{int(port):04X}"
    with open("/proc/net/tcp", encoding="utf-8") as file:
        fields = [line.split() for line in file]
    return sum(1 for field in fields
               if field[1] == local and field[3] in HELD_STATES)


def run_crowd(fleet, name, address, make_pieces, count=CLIENTS,
              all_whole=False):
    """Returns what did not hold."""
    member = fleet.m_instances[0]
    fleet.restart(member)
    fleet.wait_ready(READY_SECONDS)
    instance = Instance(member)
    clients = [bodies.Client(address, make_pieces(),
                             not all_whole and number % bodies.WHOLE_EVERY != 0)
               for number in range(count)]
    try:
        most, unfinished = bodies.send_all(instance, clients)
        time.sleep(bodies.HOLD_SECONDS)
        most = max(most, bodies.descriptors(instance))
        ordinary = serves_chat(instance, 200)
        operator = serves_operator(fleet)
        peak = bodies.status_bytes(instance, "VmHWM")
        for client in clients:
            client.close()
        wait_until(lambda: connections(address) == 0, 10,
                   "closed connections")
        large = serves_chat(instance, BODY_LIMIT_BYTES - 1)
        peak = max(peak, bodies.status_bytes(instance, "VmHWM"))
        afterwards = bodies.status_bytes(instance, "VmRSS")
    except (AssertionError, CaseFailure) as error:
        return [f"{name}: {error}"]
    finally:
        for client in clients:
            client.close()
    print(f"{name}: {peak / (1 << 20):.0f} MiB at most, "
          f"{afterwards / (1 << 20):.0f} MiB afterwards, {most} descriptors; "
          f"{sum(c.m_closed for c in clients)} of {count} clients were closed "
          f"while they sent, {unfinished} could not send all; ordinary "
          f"{ordinary}, operator {operator}, large {large}", flush=True)
    holds = {
        "the process lives": member.m_process.running(),
        f"memory, {peak} bytes": peak <= MAX_RESIDENT_BYTES,
        f"descriptors, {most}": most <= MAX_DESCRIPTORS,
        "an ordinary chat is served": ordinary,
        "an operator is served": operator,
        "a single large chat is served": large,
    }
    return [f"{name}: {what}" for what, held in holds.items() if not held]


def crowds(member):
    """Returns the name, address, requests, and options of each crowd."""
    size = BODY_LIMIT_BYTES
    block = len(bodies.BLOCK)
    callers = {
        "at_once": lambda: bodies.announced(size - 1, size, caller_head),
        "in_pieces": lambda: bodies.announced(size - 1, 10000, caller_head),
        "large_chunks": lambda: bodies.chunked(size - block, block,
                                               caller_head),
        "small_chunks": lambda: bodies.chunked(size - block, 16, caller_head),
        "chunked_over": lambda: bodies.chunked(bodies.FAR_OVER_BYTES, block,
                                               caller_head),
        "announced_over": lambda: bodies.announced(bodies.FAR_OVER_BYTES,
                                                   block, caller_head),
    }
    for name, make_pieces in callers.items():
        yield "callers_" + name, member.m_address, make_pieces, {}
    yield ("callers_complete", member.m_address, lambda: whole_chat(size - 1),
           {"all_whole": True})
    operators = {
        "at_once": lambda: bodies.announced(size - 1, size, operator_head),
        "in_pieces": lambda: bodies.announced(size - 1, 10000, operator_head),
        "large_chunks": lambda: bodies.chunked(size - block, block,
                                               operator_head),
        "small_chunks": lambda: bodies.chunked(size - block, 16,
                                               operator_head),
    }
    for name, make_pieces in operators.items():
        yield ("operators_" + name, member.m_operator_address, make_pieces, {})
    few = {"count": OPERATOR_FAR_OVER_CLIENTS}
    yield ("operators_chunked_over", member.m_operator_address,
           lambda: bodies.chunked(OPERATOR_FAR_OVER_BYTES, block,
                                  operator_head), few)
    yield ("operators_announced_over", member.m_operator_address,
           lambda: bodies.announced(OPERATOR_FAR_OVER_BYTES, block,
                                    operator_head), few)
    yield ("peers_at_once", member.m_peer_address,
           lambda: bodies.announced(size - 1, size, caller_head), {})


def add_arguments(parser):
    parser.add_argument("--only", help="prefix of the crowds' names")


def main(arguments):
    with Fleet(arguments.build, "crowds", instances=1, engines=1,
               engine_flags=[f"--prefill_rate={PREFILL_RATE}"],
               instance_settings=f"memory_mb = {MEMORY_MB}",
               settings=f"\n[callers]\nbody_limit_bytes = {BODY_LIMIT_BYTES}\n"
               ) as fleet:
        fleet.configure()
        fleet.wait_ready()
        failures = []
        for name, address, make_pieces, options in crowds(
                fleet.m_instances[0]):
            if name.startswith(arguments.only or ""):
                failures += run_crowd(fleet, name, address, make_pieces,
                                      **options)
        check(not failures, "; ".join(failures))


run_case(main, add_arguments)
