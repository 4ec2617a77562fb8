"""An engine that leaves gets no new work after a few seconds."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import check_promises  # noqa: E402
from harness import Fleet, check, run_case  # noqa: E402

LEAVING_LIMIT_MS = 3000


def main(arguments):
    with Fleet(arguments.build, "leaving_engine") as fleet:
        fleet.configure()
        fleet.wait_ready()
        load = fleet.start_load(rate=40, seconds=14, seed=1)
        time.sleep(3)
        first, second = fleet.m_engines[:2]
        fleet.control(first, leaving=True)
        time.sleep(6)
        stopped = fleet.stats(first)
        fleet.control(first, leaving=False)
        fleet.control(second, leaving=True)
        result = load.wait()
        for engine, stats in ((first, stopped), (second, fleet.stats(second))):
            took = stats["last_work_after_leaving_ms"]
            print(f"{engine.m_name}: new work for {took} ms")
            check(took <= LEAVING_LIMIT_MS, f"{engine.m_name}: {took} ms")
        check(fleet.stats(first)["started"] > stopped["started"],
              "an engine that stays after all gets work again")
        check_promises(fleet, [result])
        check(result["completed"] == result["started"], "all completed")


run_case(main)
