"""Callers get correct responses despite faulty engines and connections.

Engines return garbled request ids or another request's response, and cut or
stall streams; connections are cut, reset, or stop carrying data.
"""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import check_guarantees  # noqa: E402
from harness import Fleet, check, run_case  # noqa: E402

SETTINGS = """
[upstreams]
first_byte_timeout_ms = 4000
idle_timeout_ms = 1500
"""


def break_responses(fleet):
    """Makes each engine send faulty responses of each kind."""
    for engine in fleet.m_engines:
        fleet.control(engine, garble_ids=2, cross_answers=2)
    time.sleep(1.5)
    for engine in fleet.m_engines:
        fleet.control(engine, break_streams=3, break_after=700)
    time.sleep(1.5)
    for engine in fleet.m_engines:
        fleet.control(engine, stall_streams=1, break_after=900)
    time.sleep(3)


def break_connections(fleet):
    """Cuts and resets connections to engines, then stops all data on them.

    Connections to the platform and between instances stop carrying data too.
    """
    links = [engine.m_name for engine in fleet.m_engines]
    fleet.proxy(links, cut_count=2, cut_after=3000)
    time.sleep(2)
    fleet.proxy(links, reset_open=True)
    time.sleep(1)
    fleet.proxy([*links, "platform"], silence_open=True)
    fleet.proxy(["peer-" + i.m_name for i in fleet.m_instances],
                silence_open=True)
    time.sleep(4)


def main(arguments):
    with Fleet(arguments.build, "broken_answers", instances=3, proxy=True,
               settings=SETTINGS) as fleet:
        fleet.configure()
        fleet.wait_ready()
        load = fleet.start_load(rate=25, seconds=16, seed=1,
                                mix="long:2,short:1,label:1")
        time.sleep(1)
        break_responses(fleet)
        break_connections(fleet)
        result = load.wait()
        counts = check_guarantees(fleet, [result])
        check(counts["unfinished"] == 0, f"{counts}")
        check(result["completed"] == result["started"],
              f"{result['completed']} of {result['started']}, "
              f"{result['problems'][:5]}")
        fleet.ctl_checked("priority", "set", "after", "rank=1")


run_case(main)
