"""Replaces all instances one after another under load.

No response is truncated, and all calls complete.
"""

import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionMonitor, check_guarantees  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

SETTINGS = """
[drain]
keep_ms = 1500
limit_ms = 20000
"""


def lookup_addresses(fleet, instance, chat):
    entry = json.loads(http_call(instance.m_address, "GET",
                                 f"/v1/entry?chat={chat}&model=model-a")[2])
    return set(entry["addresses"])


def replace_instance(fleet, instance, other):
    instance.m_process.signal(signal.SIGTERM)
    wait_until(lambda: all(instance.m_advertised_address not in
                           lookup_addresses(fleet, other, chat)
                           for chat in range(20)), 5,
               f"entry lookups omit {instance.m_name}")
    code = instance.m_process.wait(25)
    check(code == 0, f"{instance.m_name} exited with {code}")
    fleet.start_instance(instance)
    wait_until(lambda: fleet.ready(instance), 15,
               f"{instance.m_name} is ready again")


def main(arguments):
    with Fleet(arguments.build, "planned_stop", services=2,
               settings=SETTINGS) as fleet:
        fleet.configure()
        fleet.wait_ready()
        monitor = RevisionMonitor(fleet)
        load = fleet.start_load(rate=25, seconds=35, seed=1,
                                mix="long:2,short:1,label:1,service:1")
        for number, instance in enumerate(fleet.m_instances):
            replace_instance(fleet, instance, fleet.m_instances[number - 1])
        result = load.wait()
        reverts = monitor.finish()
        check(not reverts, f"reverts: {reverts}")
        check_guarantees(fleet, [result])
        check(result["completed"] == result["started"],
              f"{result['completed']} of {result['started']}")


run_case(main)
