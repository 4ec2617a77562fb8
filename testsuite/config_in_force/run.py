"""100 changes take effect on each instance in time and are never reverted.

One instance is restarted now and then, and must catch up at the end.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionMonitor, check_no_failed_checks  # noqa: E402
from harness import Fleet, check, run_case, wait_until  # noqa: E402

CHANGE_COUNT = 100
CHANGES_PER_RESTART = 20
IN_FORCE_TIMEOUT_SECONDS = 2.0  # After acceptance.


def main(arguments):
    with Fleet(arguments.build, "config_in_force", engines=1) as fleet:
        fleet.configure()
        fleet.wait_ready()
        monitor = RevisionMonitor(fleet)
        *steady, restarting = fleet.m_instances
        worst = 0.0
        for number in range(CHANGE_COUNT):
            if number % CHANGES_PER_RESTART == 0:
                fleet.restart(restarting)
            output = fleet.ctl_checked("priority", "set", f"p{number % 7}",
                                       f"rank={number}",
                                       at=steady[number % len(steady)])
            accepted = time.monotonic()
            for instance in steady:
                wait_until(lambda: (fleet.revision(instance) or 0) >=
                           output["revision"], IN_FORCE_TIMEOUT_SECONDS,
                           f"change {number} in force on {instance.m_name}",
                           interval=0.02)
            worst = max(worst, time.monotonic() - accepted)
        wait_until(lambda: fleet.revision(restarting) == output["revision"],
                   20, "the last change in force on the restarted instance")
        reverts = monitor.finish()
        check(not reverts, f"reverts: {reverts}")
        check_no_failed_checks(fleet)
        print(f"longest time until in force: {worst * 1000:.0f} ms")


run_case(main)
