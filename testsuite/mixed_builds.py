"""Runs load on seven instances, one of which runs another build.

That instance is first started with the build of the others, so the other
build starts with the settings and rows that the first build wrote.

mixed_builds.py --build=BUILD --other=BUILD; run it again with the two swapped.
"""

import hashlib
import json
import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
from checks import check_guarantees  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

IN_FORCE_TIMEOUT_SECONDS = 3
CHAT = {"model": "model-a", "max_tokens": 5,
        "messages": [{"role": "user", "content": "hello"}]}


def add_other_option(parser):
    parser.add_argument("--other", required=True)


def chat_status(instance, customer):
    return http_call(instance.m_address, "POST", "/v1/chat/completions", CHAT,
                     {"Authorization": "Bearer token-" + customer})[0]


def set_tokens(fleet, customer, tokens, at):
    digests = [hashlib.sha256(token.encode()).hexdigest() for token in tokens]
    fleet.ctl_checked("customer", "set", customer,
                      f"token_digests={json.dumps(digests)}", at=at)


def run_load(fleet, seed):
    result = fleet.start_load(
        rate=30, seconds=8, customers="customer-a:4,customer-b:1",
        mix="long:1,short:2,label:1,service:1", seed=seed).wait()
    counts = check_guarantees(fleet, [result])
    check(result["completed"] == result["started"],
          f"{result['completed']} of {result['started']}: {counts}")
    print(f"{result['completed']} of {result['started']} completed",
          flush=True)


def check_change_reaches_all(fleet, at, customer):
    """Customers added or removed at one instance are so at all of them."""
    set_tokens(fleet, customer, ["token-" + customer], at)
    for instance in fleet.m_instances:
        wait_until(lambda: chat_status(instance, customer) == 200,
                   IN_FORCE_TIMEOUT_SECONDS,
                   f"{customer} is accepted by {instance.m_name}")
    set_tokens(fleet, customer, [], at)
    for instance in fleet.m_instances:
        wait_until(lambda: chat_status(instance, customer) == 401,
                   IN_FORCE_TIMEOUT_SECONDS,
                   f"{customer} is rejected by {instance.m_name}")


def main(arguments):
    with Fleet(arguments.build, "mixed_builds", services=2) as fleet:
        fleet.configure(customers=["customer-a", "customer-b"])
        fleet.wait_ready()
        run_load(fleet, 1)
        other_build = fleet.m_instances[0]
        other_build.m_process.kill()
        program = os.path.join(os.path.abspath(arguments.other), "bin",
                               "nutmegd")
        other_build.m_process.m_arguments[0] = program
        other_build.m_process.start()
        fleet.wait_ready()
        wait_until(fleet.all_instances_alive, 20,
                   "all instances report each other as alive")
        run_load(fleet, 2)
        check_change_reaches_all(fleet, other_build, "customer-c")
        check_change_reaches_all(fleet, fleet.m_instances[1], "customer-d")
        revisions = {fleet.revision(i) for i in fleet.m_instances}
        check(len(revisions) == 1, f"revisions {revisions}")


run_case(main, add_other_option)
