"""100 changes, each in force on every instance in time, none ever reverted."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionWatch, check_no_failed_checks  # noqa: E402
from harness import Fleet, check, run_case, wait_until  # noqa: E402

CHANGES = 100
RESTART_EVERY = 20
IN_FORCE_LIMIT = 2.0  # Seconds after acceptance.


def main(arguments):
    with Fleet(arguments.build, "config_in_force", engines=1) as fleet:
        fleet.configure()
        fleet.wait_ready()
        watch = RevisionWatch(fleet)
        *steady, restarting = fleet.m_instances
        worst = 0.0
        for number in range(CHANGES):
            if number % RESTART_EVERY == 0:
                fleet.restart(restarting)
            answer = fleet.ctl_done("priority", "set", f"p{number % 7}",
                                    f"rank={number}",
                                    at=steady[number % len(steady)])
            accepted = time.monotonic()
            for instance in steady:
                wait_until(lambda: (fleet.revision(instance) or 0) >=
                           answer["revision"], IN_FORCE_LIMIT,
                           f"change {number} in force on {instance.m_name}",
                           period=0.02)
            worst = max(worst, time.monotonic() - accepted)
        wait_until(lambda: fleet.revision(restarting) == answer["revision"],
                   20, "the restarted instance has it too")
        reverts = watch.finish()
        check(not reverts, f"reverts: {reverts}")
        check_no_failed_checks(fleet)
        print(f"worst time to be in force: {worst * 1000:.0f} ms")


run_case(main)
