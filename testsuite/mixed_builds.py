"""Chats and a service through a fleet of seven in which one instance runs
another build of the daemon, started on the settings and rows of the first.

mixed_builds.py --build=BUILD --other=BUILD; call it both ways round.
"""

import hashlib
import json
import os
import sys

sys.path.insert(0, os.path.dirname(__file__))
from checks import check_promises  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

IN_FORCE_SECONDS = 3
CHAT = {"model": "model-a", "max_tokens": 5,
        "messages": [{"role": "user", "content": "hello"}]}


def add_other(parser):
    parser.add_argument("--other", required=True)


def ask(instance, customer):
    return http_call(instance.m_address, "POST", "/v1/chat/completions", CHAT,
                     {"Authorization": "Bearer token-" + customer})[0]


def set_tokens(fleet, customer, tokens, at):
    digests = [hashlib.sha256(token.encode()).hexdigest() for token in tokens]
    fleet.ctl_done("customer", "set", customer,
                   f"token_digests={json.dumps(digests)}", at=at)


def run_load(fleet, seed):
    result = fleet.start_load(
        rate=30, seconds=8, customers="customer-a:4,customer-b:1",
        mix="long:1,short:2,label:1,service:1", seed=seed).wait()
    counts = check_promises(fleet, [result])
    check(result["completed"] == result["started"],
          f"{result['completed']} of {result['started']}: {counts}")
    print(f"{result['completed']} of {result['started']} completed", flush=True)


def check_change_reaches_all(fleet, at, customer):
    """A customer that is added and removed at one instance counts at all."""
    set_tokens(fleet, customer, ["token-" + customer], at)
    for instance in fleet.m_instances:
        wait_until(lambda: ask(instance, customer) == 200, IN_FORCE_SECONDS,
                   f"{customer} is served by {instance.m_name}")
    set_tokens(fleet, customer, [], at)
    for instance in fleet.m_instances:
        wait_until(lambda: ask(instance, customer) == 401, IN_FORCE_SECONDS,
                   f"{customer} is denied by {instance.m_name}")


def main(arguments):
    with Fleet(arguments.build, "mixed_builds", services=2) as fleet:
        fleet.configure(customers=["customer-a", "customer-b"])
        fleet.wait_ready()
        run_load(fleet, 1)
        odd = fleet.m_instances[0]
        odd.m_process.kill()
        program = os.path.join(os.path.abspath(arguments.other), "bin",
                               "nutmegd")
        odd.m_process.m_arguments[0] = program
        odd.m_process.start()
        fleet.wait_ready()
        wait_until(fleet.all_known, 20, "all instances know each other")
        run_load(fleet, 2)
        check_change_reaches_all(fleet, odd, "customer-c")
        check_change_reaches_all(fleet, fleet.m_instances[1], "customer-d")
        revisions = {fleet.revision(i) for i in fleet.m_instances}
        check(len(revisions) == 1, f"revisions {revisions}")


run_case(main, add_other)
