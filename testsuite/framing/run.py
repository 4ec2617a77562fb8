"""Requests with an ambiguous framing, at the callers' and operators' addresses
of a chats' instance.

Guards against a body that is run as a request of its own.
"""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "platform", "testing"))
import framing  # noqa: E402
from harness import Fleet, check, run_case  # noqa: E402

START = ("POST /v1/chat/completions HTTP/1.1\r\nHost: nutmeg.example\r\n"
         "Authorization: Bearer token-customer-a")


def main(arguments):
    with Fleet(arguments.build, "framing", instances=1, engines=1) as fleet:
        fleet.configure()
        fleet.wait_ready()
        member = fleet.m_instances[0]
        for address in (member.m_address, member.m_operator_address):
            faults = framing.find_faults(address, START)
            check(not faults, f"{address}: {faults}")


run_case(main)
