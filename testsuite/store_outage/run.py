"""The store is away: work goes on, nothing is claimed, and starts succeed."""

import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionWatch, check_promises  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

ORDER = {"Authorization": "Bearer token-customer-a"}


def book(fleet, key, instance):
    return http_call(instance.m_address, "POST", "/v1/services/orders/book",
                     json.dumps({"key": key}),
                     {**ORDER, "Idempotency-Key": key}, timeout=30)


def main(arguments):
    with Fleet(arguments.build, "store_outage", services=2) as fleet:
        fleet.configure()
        fleet.wait_ready()
        first, *_, last = fleet.m_instances
        watch = RevisionWatch(fleet)
        revision = fleet.revision(first)
        for switch in ("outage", "silent"):
            fleet.control(fleet.m_platform, **{switch: True})
            load = fleet.start_load(rate=20, seconds=6, seed=1)
            fleet.restart(last)
            status, headers, text = book(fleet, f"during-{switch}", first)
            check(status == 503 and headers["Nutmeg-Outcome"] == "not-run",
                  f"booking during {switch}: {status} {headers} {text}")
            code, answer = fleet.ctl("priority", "set", "p", "rank=1")
            check(code in (1, 3), f"change during {switch}: {code} {answer}")
            wait_until(lambda: fleet.ready(last), 15,
                       f"an instance starts during {switch}")
            check(fleet.revision(last) == revision, "with the configuration")
            result = load.wait()
            check_promises(fleet, [result])
            check(result["completed"] == result["started"],
                  f"{result['completed']} of {result['started']}")
            fleet.control(fleet.m_platform, **{switch: False})
            wait_until(lambda: fleet.ctl("priority", "set", "p",
                                         "rank=2")[0] == 0, 20,
                       "changes are accepted again", period=0.5)
            revision = fleet.ctl_done("revision")["revision"]
            wait_until(lambda: all(fleet.revision(i) == revision
                                   for i in fleet.m_instances), 19, "in force")
            check(book(fleet, f"after-{switch}", first)[0] == 200, "booking")
        reverts = watch.finish()
        check(not reverts, f"reverts: {reverts}")


run_case(main)
