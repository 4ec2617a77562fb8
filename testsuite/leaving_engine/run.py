"""An engine gets no new work 3 seconds after it announces that it leaves.

An engine that withdraws the announcement gets work again.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import check_guarantees  # noqa: E402
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
            last_work_ms = stats["last_work_after_leaving_ms"]
            print(f"{engine.m_name}: got new work for {last_work_ms} ms")
            check(last_work_ms <= LEAVING_LIMIT_MS,
                  f"{engine.m_name}: {last_work_ms} ms")
        check(fleet.stats(first)["started"] > stopped["started"],
              "an engine that no longer leaves gets no work")
        check_guarantees(fleet, [result])
        check(result["completed"] == result["started"],
              "calls did not complete")


run_case(main)
