"""Runs seven instances and stand-ins under load, and prints measurements."""

import os
import time

from checks import ControlTrafficMonitor, SkewMonitor, check_guarantees
from harness import Fleet, run_case

LOAD_SECONDS = 40


def print_rows(rows):
    width = max(len(name) for name, _ in rows)
    for name, value in rows:
        print(f"  {name:<{width}}  {value}")


def main(arguments):
    print("starting a platform, 12 engines, 3 order servers, 7 instances")
    with Fleet(arguments.build, "demo", engines=12, services=3) as fleet:
        customers = [f"band-{n}" for n in range(1, 11)]
        fleet.configure(customers=customers)
        fleet.wait_ready()
        shares = ",".join(f"{name}:{8 if n < 3 else 1}"
                          for n, name in enumerate(customers))
        print(f"sending load for {LOAD_SECONDS} s: multi-turn chats with "
              "long and short histories, labels, bookings", flush=True)
        skew = SkewMonitor(fleet)
        control = ControlTrafficMonitor(fleet)
        started = time.monotonic()
        result = fleet.start_load(
            rate=130, seconds=LOAD_SECONDS, customers=shares,
            mix="long:3,short:3,label:2,service:1", seed=1).wait()
        elapsed = time.monotonic() - started
        skew.finish()
        rates = control.finish()
        counts = check_guarantees(fleet, [result])
        ttft = result["ttft_ms"]
        print_rows([
            ("calls completed", f"{sum(result['completed'].values())} of "
             f"{sum(result['started'].values())} in {elapsed:.0f} s"),
            ("time to first token, p50 / p95",
             f"{ttft['p50']:.0f} / {ttft['p95']:.0f} ms"),
            ("prompt tokens from cache", f"{result['cache_reuse']:.1%}"),
            ("highest engine load over mean", f"{skew.peak():.2f}"),
            ("control traffic, highest of any instance",
             f"{max(rates, default=0):.0f} bytes/s"),
            ("wrong responses", counts["wrong_answers"]),
            ("truncated responses", counts["cut_answers"]),
            ("false \"not run\"", counts["false_not_run"]),
            ("bookings run twice", counts["doubled_requests"]),
            ("lost bookings", counts["lost_bookings"]),
        ])
        print("nutmegctl explain, for the placement of one chat:")
        print(fleet.ctl("explain", "chat-1-1", "model-a", output="text")[1])
        print(f"logs and records: {os.path.relpath(fleet.m_folder)}")


run_case(main)
