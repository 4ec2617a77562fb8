"""Concurrent changes by operators conflict, and lost commit responses do no
harm; only operators' tokens are accepted at operator addresses.
"""

import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

RACE_COUNT = 10
IN_FORCE_TIMEOUT_SECONDS = 2.0  # After acceptance.


def race_two_operators(fleet, number):
    """Two operators change one object at once, based on the same revision.

    One change is accepted; the other is a conflict that names the winner.
    """
    expected_revision = fleet.ctl_checked("priority", "show",
                                          "contested")["revision"]
    results = {}

    def change(instance, rank):
        results[rank] = fleet.ctl("priority", "set", "contested",
                                  f"rank={rank}",
                                  f"--expected_revision={expected_revision}",
                                  at=instance)

    threads = [threading.Thread(target=change,
                                args=(fleet.m_instances[i], 100 * number + i))
               for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = {rank: code for rank, (code, _) in results.items()}
    check(sorted(codes.values()) == [0, 1], f"race {number}: {results}")
    winner_output = next(a for code, a in results.values() if code == 0)
    loser_output = next(a for code, a in results.values() if code == 1)
    check("harness" in str(loser_output) and
          str(winner_output["revision"]) in str(loser_output),
          f"the conflict does not name the winner: {results}")
    return codes


def check_race_result(fleet, codes):
    code, shown = fleet.ctl("priority", "show", "contested")
    check(code == 0, f"show: {shown}")
    rank = next(rank for rank, code in codes.items() if code == 0)
    check(str(rank) in str(shown), f"{shown}, {codes}")


def check_lost_commit_response(fleet):
    """A change takes effect although its commit response was lost."""
    for number in range(5):
        fleet.control(fleet.m_platform, lose_commit_answers=1)
        code, output = fleet.ctl("priority", "set", f"lost{number}", "rank=7")
        check(code in (0, 3), f"lost response: exit {code}: {output}")
        wait_until(lambda: fleet.ctl("priority", "show", f"lost{number}")[0]
                   == 0, IN_FORCE_TIMEOUT_SECONDS, f"lost{number} is in force")


def check_tokens(fleet):
    """Operator addresses reject customers' tokens and invalid tokens."""
    address = fleet.m_instances[0].m_operator_address
    for token in ("token-customer-a", "nobody", ""):
        status, _, text = http_call(address, "GET", "/v1/revision", headers={
            "Authorization": "Bearer " + token})
        check(status in (401, 403, 404), f"{token}: {status} {text}")


def main(arguments):
    with Fleet(arguments.build, "operators", instances=3, engines=1) as fleet:
        fleet.configure()
        fleet.wait_ready()
        check_tokens(fleet)
        fleet.ctl_checked("priority", "set", "contested", "rank=1")
        for number in range(RACE_COUNT):
            codes = race_two_operators(fleet, number)
            revision = max(fleet.revision(i) for i in fleet.m_instances)
            wait_until(lambda: all(fleet.revision(i) >= revision
                                   for i in fleet.m_instances), 10, "in force")
        check_race_result(fleet, codes)
        check_lost_commit_response(fleet)
        code, audit = fleet.ctl("audit")
        check(code == 0 and "contested" in str(audit), f"audit: {audit}")
        check("harness" in str(audit),
              "the audit trail does not name the operator")
        code, output = fleet.ctl("route", "delete", "no-such-route")
        check(code == 1, f"delete of an absent object: {code} {output}")
        code, output = fleet.ctl("no-such-command")
        check(code == 2, f"usage: {code} {output}")


run_case(main)
