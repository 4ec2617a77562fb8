"""Operators race one another, and answers of the store are lost."""

import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

RACES = 10
IN_FORCE_LIMIT = 2.0  # Seconds after acceptance.


def race(fleet, number):
    """Two operators change one object at once, each on what it has seen;
    one is accepted, and the other learns who was first."""
    seen = fleet.ctl_done("priority", "show", "contested")["revision"]
    answers = {}

    def change(instance, rank):
        answers[rank] = fleet.ctl("priority", "set", "contested",
                                  f"rank={rank}",
                                  f"--expected_revision={seen}", at=instance)

    threads = [threading.Thread(target=change,
                                args=(fleet.m_instances[i], 100 * number + i))
               for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = {rank: code for rank, (code, _) in answers.items()}
    check(sorted(codes.values()) == [0, 1], f"race {number}: {answers}")
    winner = next(a for code, a in answers.values() if code == 0)
    loser = next(a for code, a in answers.values() if code == 1)
    check("harness" in str(loser) and str(winner["revision"]) in str(loser),
          f"the conflict names the winner: {answers}")
    return codes


def check_race_result(fleet, codes):
    code, shown = fleet.ctl("priority", "show", "contested")
    check(code == 0, f"show: {shown}")
    rank = next(rank for rank, code in codes.items() if code == 0)
    check(str(rank) in str(shown), f"{shown}, {codes}")


def check_lost_answer(fleet):
    """A change whose commit answer was lost is reported as it happened."""
    for number in range(5):
        fleet.control(fleet.m_platform, lose_commit_answers=1)
        code, answer = fleet.ctl("priority", "set", f"lost{number}", "rank=7")
        check(code in (0, 3), f"lost answer: exit {code}: {answer}")
        wait_until(lambda: fleet.ctl("priority", "show", f"lost{number}")[0]
                   == 0, IN_FORCE_LIMIT, f"lost{number} is in force")


def check_tokens(fleet):
    """A caller's token opens no operator address."""
    address = fleet.m_instances[0].m_operator
    for token in ("token-customer-a", "nobody", ""):
        status, _, text = http_call(address, "GET", "/v1/revision", headers={
            "Authorization": "Bearer " + token})
        check(status in (401, 403, 404), f"{token}: {status} {text}")


def main(arguments):
    with Fleet(arguments.build, "operators", instances=3, engines=1) as fleet:
        fleet.configure()
        fleet.wait_ready()
        check_tokens(fleet)
        fleet.ctl_done("priority", "set", "contested", "rank=1")
        for number in range(RACES):
            codes = race(fleet, number)
            revision = max(fleet.revision(i) for i in fleet.m_instances)
            wait_until(lambda: all(fleet.revision(i) >= revision
                                   for i in fleet.m_instances), 10, "in force")
        check_race_result(fleet, codes)
        check_lost_answer(fleet)
        code, audit = fleet.ctl("audit")
        check(code == 0 and "contested" in str(audit), f"audit: {audit}")
        check("harness" in str(audit), "the audit trail names the operator")
        code, answer = fleet.ctl("route", "delete", "no-such-route")
        check(code == 1, f"delete of an absent object: {code} {answer}")
        code, answer = fleet.ctl("no-such-command")
        check(code == 2, f"usage: {code} {answer}")


run_case(main)
