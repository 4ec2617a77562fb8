"""A request that crashes engines crashes at most two of them."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import Supervisor, check_crashes, check_guarantees  # noqa: E402
from harness import Fleet, check, run_case  # noqa: E402

CRASH_CALLS = 2


def main(arguments):
    with Fleet(arguments.build, "crashing_request", engines=6) as fleet:
        fleet.configure()
        fleet.wait_ready()
        supervisor = Supervisor(fleet, fleet.m_engines)
        load = fleet.start_load(rate=15, seconds=16, seed=1,
                                crash_calls=CRASH_CALLS, most_tries=12)
        result = load.wait()
        supervisor.finish()
        crashes = check_crashes(fleet)
        print(f"engines crashed by each request: {list(crashes.values())}")
        check(len(crashes) == CRASH_CALLS,
              f"crashing calls that ran: {crashes}")
        check_guarantees(fleet, [result], cut_allowed=True)
        # Requests that ran beside a crashing one are not rejected permanently.
        for kind in ("long", "short", "label"):
            completed = result["completed"].get(kind, 0)
            check(completed == result["started"].get(kind, 0),
                  f"{kind}: {completed} of {result['started']}, "
                  f"{result['problems'][:8]}")


run_case(main)
