"""While the store is unavailable, calls complete and instances start, but
bookings are rejected as not run and configuration changes fail.
"""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionMonitor, check_guarantees  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

CUSTOMER_HEADERS = {"Authorization": "Bearer token-customer-a"}


def book(fleet, key, instance):
    return http_call(instance.m_address, "POST", "/v1/services/orders/book",
                     json.dumps({"key": key}),
                     {**CUSTOMER_HEADERS, "Idempotency-Key": key}, timeout=30)


def main(arguments):
    with Fleet(arguments.build, "store_outage", services=2) as fleet:
        fleet.configure()
        fleet.wait_ready()
        first, *_, last = fleet.m_instances
        monitor = RevisionMonitor(fleet)
        revision = fleet.revision(first)
        for switch in ("outage", "silent"):
            fleet.control(fleet.m_platform, **{switch: True})
            load = fleet.start_load(rate=20, seconds=6, seed=1)
            fleet.restart(last)
            status, headers, text = book(fleet, f"during-{switch}", first)
            check(status == 503 and headers["Nutmeg-Outcome"] == "not-run",
                  f"booking during {switch}: {status} {headers} {text}")
            code, output = fleet.ctl("priority", "set", "p", "rank=1")
            check(code in (1, 3), f"change during {switch}: {code} {output}")
            wait_until(lambda: fleet.ready(last), 15,
                       f"a restarted instance is ready during {switch}")
            check(fleet.revision(last) == revision,
                  "the restarted instance has another revision")
            result = load.wait()
            check_guarantees(fleet, [result])
            check(result["completed"] == result["started"],
                  f"{result['completed']} of {result['started']}")
            fleet.control(fleet.m_platform, **{switch: False})
            wait_until(lambda: fleet.ctl("priority", "set", "p",
                                         "rank=2")[0] == 0, 20,
                       "changes are accepted again", interval=0.5)
            revision = fleet.ctl_checked("revision")["revision"]
            wait_until(lambda: all(fleet.revision(i) == revision
                                   for i in fleet.m_instances), 19, "in force")
            check(book(fleet, f"after-{switch}", first)[0] == 200, "booking")
        reverts = monitor.finish()
        check(not reverts, f"reverts: {reverts}")


run_case(main)
