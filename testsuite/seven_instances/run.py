"""Load on seven instances, and a caller that disconnects."""

import http.client
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import ControlTrafficMonitor, check_guarantees  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

MAX_CONTROL_BYTES_PER_SECOND = 8000  # Of one instance, at the design size.


def check_caller_disconnect(fleet):
    """When a caller disconnects, its stream is cancelled at the engine."""
    host, port = fleet.m_instances[0].m_address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    body = {"model": "model-a", "stream": True, "max_tokens": 3000,
            "messages": [{"role": "user", "content": "a very long answer"}]}
    connection.request("POST", "/v1/chat/completions", json.dumps(body),
                       {"Authorization": "Bearer token-customer-a"})
    response = connection.getresponse()
    check(response.read(10), "the response is empty")

    def running():
        return sum(fleet.stats(e)["running"] for e in fleet.m_engines)

    check(running() == 1, "not exactly one stream runs")
    response.close()
    connection.close()
    wait_until(lambda: running() == 0, 3, "the stream is cancelled")
    check(sum(fleet.stats(e)["cancelled"] for e in fleet.m_engines) == 1,
          "the engines do not report exactly one cancelled stream")


def main(arguments):
    with Fleet(arguments.build, "seven_instances", services=2) as fleet:
        fleet.configure(customers=["customer-a", "customer-b"])
        fleet.wait_ready()
        check_caller_disconnect(fleet)
        control = ControlTrafficMonitor(fleet)
        result = fleet.start_load(
            rate=30, seconds=10, customers="customer-a:4,customer-b:1",
            mix="long:1,short:2,label:1,service:1", seed=1).wait()
        counts = check_guarantees(fleet, [result])
        check(counts["unfinished"] == 0, f"{counts}")
        check(result["completed"] == result["started"],
              f"{result['completed']} of {result['started']}")
        worst = max(control.finish())
        check(worst <= MAX_CONTROL_BYTES_PER_SECOND,
              f"{worst} control bytes per second")
        for instance in fleet.m_instances:
            entry = json.loads(http_call(instance.m_address, "GET",
                                         "/v1/entry?chat=c&model=model-a")[2])
            check(set(entry["addresses"]) <= set(fleet.entry_addresses()),
                  f"{entry}")


run_case(main)
