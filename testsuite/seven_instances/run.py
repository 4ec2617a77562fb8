"""Seven instances: load over all of them, and a caller that goes away."""

import http.client
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import ControlWatch, check_promises  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

CONTROL_BYTES_LIMIT = 8000  # A second and instance, at the design size.


def check_caller_gone(fleet):
    """A caller that closes has its stream cancelled at the engine."""
    host, port = fleet.m_instances[0].m_address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    body = {"model": "model-a", "stream": True, "max_tokens": 3000,
            "messages": [{"role": "user", "content": "a very long answer"}]}
    connection.request("POST", "/v1/chat/completions", json.dumps(body),
                       {"Authorization": "Bearer token-customer-a"})
    answer = connection.getresponse()
    check(answer.read(10), "the answer begins")

    def running():
        return sum(fleet.stats(e)["running"] for e in fleet.m_engines)

    check(running() == 1, "the stream runs")
    answer.close()
    connection.close()
    wait_until(lambda: running() == 0, 3, "the stream is cancelled")
    check(sum(fleet.stats(e)["cancelled"] for e in fleet.m_engines) == 1,
          "the cancel reached the engine")


def main(arguments):
    with Fleet(arguments.build, "seven_instances", services=2) as fleet:
        fleet.configure(customers=["customer-a", "customer-b"])
        fleet.wait_ready()
        check_caller_gone(fleet)
        control = ControlWatch(fleet)
        result = fleet.start_load(
            rate=30, seconds=10, customers="customer-a:4,customer-b:1",
            mix="long:1,short:2,label:1,service:1", seed=1).wait()
        counts = check_promises(fleet, [result])
        check(counts["unfinished"] == 0, f"{counts}")
        check(result["completed"] == result["started"],
              f"{result['completed']} of {result['started']}")
        worst = max(control.finish())
        check(worst <= CONTROL_BYTES_LIMIT, f"{worst} control bytes a second")
        for instance in fleet.m_instances:
            entry = json.loads(http_call(instance.m_address, "GET",
                                         "/v1/entry?chat=c&model=model-a")[2])
            check(set(entry["addresses"]) <= set(fleet.entries()), f"{entry}")


run_case(main)
