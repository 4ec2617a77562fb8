"""Demo: stand-ins, seven instances and load; prints the measures and ends."""

import os
import time

from checks import ControlWatch, SkewWatch, check_promises
from harness import Fleet, run_case

SECONDS = 40


def show(rows):
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
        print(f"sending load for {SECONDS} s: returning chats with long and "
              "short histories, labels, bookings", flush=True)
        skew = SkewWatch(fleet)
        control = ControlWatch(fleet)
        started = time.monotonic()
        result = fleet.start_load(
            rate=130, seconds=SECONDS, customers=shares,
            mix="long:3,short:3,label:2,service:1", seed=1).wait()
        elapsed = time.monotonic() - started
        skew.finish()
        rates = control.finish()
        counts = check_promises(fleet, [result])
        ttft = result["ttft_ms"]
        show([
            ("calls completed", f"{sum(result['completed'].values())} of "
             f"{sum(result['started'].values())} in {elapsed:.0f} s"),
            ("time to first token, p50 / p95",
             f"{ttft['p50']:.0f} / {ttft['p95']:.0f} ms"),
            ("prompt tokens from cache", f"{result['cache_reuse']:.1%}"),
            ("highest engine load over mean", f"{skew.peak():.2f}"),
            ("control traffic, highest of an instance",
             f"{max(rates, default=0):.0f} bytes/s"),
            ("wrong answers", counts["wrong_answers"]),
            ("cut answers", counts["cut_answers"]),
            ("false \"not run\"", counts["false_not_run"]),
            ("doubled bookings", counts["doubled_requests"]),
            ("lost bookings", counts["lost_bookings"]),
        ])
        print("an operator asks where a chat goes:")
        print(fleet.ctl("explain", "chat-1-1", "model-a", output="text")[1])
        print(f"logs and records: {os.path.relpath(fleet.m_folder)}")


run_case(main)
