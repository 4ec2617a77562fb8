"""A partition of three and four instances, which both keep serving.

A change takes effect on both sides, and all instances report each other as
alive after the partition ends and an instance was suspended.
"""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionMonitor, check_guarantees  # noqa: E402
from harness import Fleet, check, run_case, make_random  # noqa: E402
from harness import wait_until  # noqa: E402


def forge_datagrams(fleet, random):
    """Sends random datagrams, which the instances must drop."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for instance in fleet.m_instances:
            host, port = instance.m_peer_address.rsplit(":", 1)
            for _ in range(200):
                size = random.randrange(0, 1400)
                sender.sendto(random.randbytes(size), (host, int(port)))


def main(arguments):
    random = make_random(arguments.seed)
    with Fleet(arguments.build, "partition", proxy=True, services=2) as fleet:
        fleet.configure()
        fleet.wait_ready()
        wait_until(fleet.all_instances_alive, 20,
                   "all instances report each other as alive", interval=0.5)
        monitor = RevisionMonitor(fleet)
        load = fleet.start_load(rate=20, seconds=24, seed=1,
                                mix="long:1,short:1,label:1,service:1")
        minority, majority = fleet.m_instances[:3], fleet.m_instances[3:]
        fleet.partition(minority, majority)
        forge_datagrams(fleet, random)
        time.sleep(6)
        changed = fleet.ctl_checked("priority", "set", "p", "rank=1",
                                    at=minority[0])["revision"]
        wait_until(lambda: all(fleet.revision(i) >= changed
                               for i in fleet.m_instances), 19,
                   "a change in force on both sides")
        fleet.partition(minority, majority, blocked=False)
        # One instance is suspended for 5 seconds.
        majority[0].m_process.signal(signal.SIGSTOP)
        time.sleep(5)
        majority[0].m_process.signal(signal.SIGCONT)
        wait_until(fleet.all_instances_alive, 20,
                   "all instances report each other as alive again",
                   interval=0.5)
        result = load.wait()
        reverts = monitor.finish()
        check(not reverts, f"reverts: {reverts}")
        counts = check_guarantees(fleet, [result])
        check(counts["unfinished"] == 0, f"{counts}")


run_case(main)
