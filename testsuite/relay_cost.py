"""Measures an instance's CPU time per relayed chunk and per small request.

Reads the CPU time from /proc. Also compares the time to first token of the
same streams through the instance and directly to the engines.
"""

import os
import sys
import time

sys.path.insert(0, os.path.dirname(__file__))
from harness import Fleet, run_case  # noqa: E402

LOAD_SECONDS = 8
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(member):
    with open(f"/proc/{member.m_process.m_popen.pid}/stat",
              encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def count_chunks(fleet):
    return sum(fleet.stats(e)["generated_tokens"] for e in fleet.m_engines)


def measure(fleet, mix, rate):
    """Returns (CPU seconds above idle, load result, relayed chunks)."""
    instance = fleet.m_instances[0]
    cpu_before, chunks_before = cpu_seconds(instance), count_chunks(fleet)
    started = time.monotonic()
    result = fleet.start_load(rate=rate, seconds=LOAD_SECONDS, mix=mix,
                              pause_seconds=0.5, seed=1).wait()
    cpu_spent = cpu_seconds(instance) - cpu_before
    idle_share = fleet.m_idle_share * (time.monotonic() - started)
    return cpu_spent - idle_share, result, count_chunks(fleet) - chunks_before


def main(arguments):
    flags = ["--token_rate=100", "--batch_half=1000"]
    with Fleet(arguments.build, "relay_cost", instances=1, engines=2,
               engine_flags=flags) as fleet:
        fleet.configure()
        fleet.wait_ready()
        cpu_before = cpu_seconds(fleet.m_instances[0])
        time.sleep(4)
        fleet.m_idle_share = (
            cpu_seconds(fleet.m_instances[0]) - cpu_before) / 4
        print(f"idle: {fleet.m_idle_share * 100:.2f}% of a core")
        small_cpu, result, _ = measure(fleet, "label:1", 200)
        calls = sum(result["completed"].values())
        print(f"small requests: {calls}, "
              f"{small_cpu / calls * 1e6:.0f} us each")
        stream_cpu, result, relayed = measure(fleet, "long:1", 40)
        calls = sum(result["completed"].values())
        print(f"streams: {calls} calls, {relayed} chunks, "
              f"{stream_cpu / relayed * 1e6:.1f} us a chunk, calls included")
        routed = result["ttft_since_send_ms"]
        direct = fleet.start_load(
            rate=40, seconds=LOAD_SECONDS, mix="long:1", pause_seconds=0.5,
            seed=1, direct=",".join(e.m_address for e in fleet.m_engines)
        ).wait()["ttft_since_send_ms"]
        print(f"time to first token: routed p50 {routed['p50']:.2f} ms, "
              f"direct p50 {direct['p50']:.2f} ms")


run_case(main)
