"""Three instances lose the other four, go on, and merge again."""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionWatch, check_promises  # noqa: E402
from harness import Fleet, check, run_case, seeded  # noqa: E402
from harness import wait_until  # noqa: E402


def forge_datagrams(fleet, random):
    """Sends datagrams that no instance sent; they are dropped."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for instance in fleet.m_instances:
            host, port = instance.m_peer.rsplit(":", 1)
            for _ in range(200):
                size = random.randrange(0, 1400)
                sender.sendto(random.randbytes(size), (host, int(port)))


def main(arguments):
    random = seeded(arguments.seed)
    with Fleet(arguments.build, "partition", proxy=True, services=2) as fleet:
        fleet.configure()
        fleet.wait_ready()
        wait_until(fleet.all_known, 20, "all know all",
                   period=0.5)
        watch = RevisionWatch(fleet)
        load = fleet.start_load(rate=20, seconds=24, seed=1,
                                mix="long:1,short:1,label:1,service:1")
        few, many = fleet.m_instances[:3], fleet.m_instances[3:]
        fleet.partition(few, many)
        forge_datagrams(fleet, random)
        time.sleep(6)
        changed = fleet.ctl_done("priority", "set", "p", "rank=1",
                                 at=few[0])["revision"]
        wait_until(lambda: all(fleet.revision(i) >= changed
                               for i in fleet.m_instances), 19,
                   "a change holds on both sides")
        fleet.partition(few, many, blocked=False)
        # One instance sleeps for a while and wakes up.
        many[0].m_process.signal(signal.SIGSTOP)
        time.sleep(5)
        many[0].m_process.signal(signal.SIGCONT)
        wait_until(fleet.all_known, 20, "all know all again",
                   period=0.5)
        result = load.wait()
        reverts = watch.finish()
        check(not reverts, f"reverts: {reverts}")
        counts = check_promises(fleet, [result])
        check(counts["unfinished"] == 0, f"{counts}")


run_case(main)
