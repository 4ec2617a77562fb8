"""Measures both deployments and writes build/measure/summary.json.

Each deployment runs three times with the same calls: with bounded placement,
and with random and least-loaded placement as baselines.
"""

import json
import os
import signal
import subprocess
import threading
import time

from checks import ControlTrafficMonitor, PeriodicThread, RevisionMonitor
from checks import SkewMonitor, count_violations
from harness import CaseFailure, Fleet, run_case, wait_until
from replay import reuse_ceiling

CLIENT_DELAY_US = 1000
MEMBERSHIP_TIMEOUT_SECONDS = 12
PROBE_SECONDS = 5
# Start times and windows in seconds of a run; caches are warm from second 6.
STEADY = (6, 20)
SURGE = (20, 28)
CHURN_START = 29
AFTER_CHURN = (36, 44)
RUN_SECONDS = 44
BASELINE_SECONDS = 28
CACHE_TOKENS = 150000
RATE = 110

DEPLOYMENTS = {
    "vuhf": {
        "data_centres": [(name, "nl-midden") for name in
                         ("utrecht-a", "amersfoort-b", "zeist-c")],
        "delay_us": 900, "services": 3,
        "mix": "long:4,short:3,label:1,service:1"},
    "skattekrukke": {
        "data_centres": [(f"dk-east-{name}", "dk-east") for name in "abcd"],
        "delay_us": 1500, "services": 4,
        "mix": "long:2,short:3,label:4,service:2"},
}
CUSTOMERS = {f"customer-{n}": (8, 6, 4)[n] if n < 3 else 1 for n in range(10)}
SETTINGS = """
[drain]
keep_ms = 2000
limit_ms = 20000
"""


def make_fleet(build, name, deployment, policy):
    fleet = Fleet(
        build, f"measure_{name}_{policy}", engines=12,
        services=deployment["services"], proxy=True,
        data_centres=deployment["data_centres"],
        delay_us=deployment["delay_us"], settings=SETTINGS, policy=policy,
        engine_flags=["--token_rate=60", "--batch_half=24",
                      f"--cache_tokens={CACHE_TOKENS}"])
    return fleet


def prepare_fleet(fleet):
    """Adds caller latency and direct proxied addresses of the engines.

    Configures the fleet and waits until its instances are ready; waits at
    most MEMBERSHIP_TIMEOUT_SECONDS until they report each other as alive.
    """
    fleet.proxy([i.m_name for i in fleet.m_instances],
                delay_us=CLIENT_DELAY_US)
    fleet.m_direct_addresses = [fleet.m_ports.pick() for _ in fleet.m_engines]
    fleet.post(fleet.m_proxy, "/links", {"links": [
        {"name": "direct-" + engine.m_name, "listen": address,
         "target": engine.m_address, "delay_us": CLIENT_DELAY_US}
        for engine, address in zip(fleet.m_engines,
                                   fleet.m_direct_addresses)]})
    fleet.configure(customers=list(CUSTOMERS))
    fleet.wait_ready()
    try:
        wait_until(fleet.all_instances_alive, MEMBERSHIP_TIMEOUT_SECONDS,
                   "all instances report each other as alive", interval=0.5)
    except CaseFailure as failure:
        print(f"  measuring anyway: {failure}")


def start_load(fleet, deployment, seconds):
    return fleet.start_load(
        rate=RATE, seconds=seconds, mix=deployment["mix"], seed=1,
        customers=",".join(f"{n}:{w}" for n, w in CUSTOMERS.items()),
        surge_customer="customer-0", surge_from=SURGE[0], surge_to=SURGE[1])


def measure_added_ttft(fleet):
    """Returns the time to first token that the fleet adds, in ms.

    Sends the same calls through the fleet and directly to the engines.
    """
    flags = {"rate": 20, "seconds": PROBE_SECONDS, "mix": "short:1",
             "turns": 1, "customers": "customer-9:1"}
    routed = fleet.start_load(seed=101, **flags)
    direct = fleet.start_load(seed=102,
                              direct=",".join(fleet.m_direct_addresses),
                              **flags)
    routed = routed.wait()["ttft_since_send_ms"]
    direct = direct.wait()["ttft_since_send_ms"]
    return {f"added_ttft_ms_{p}": round(routed[p] - direct[p], 3)
            for p in ("p50", "p95")}


def window_reuse(result, window):
    """Returns the share of prompt tokens found in a cache in a window."""
    rows = [r for r in result["seconds"] if window[0] <= r[0] < window[1]]
    prompt = sum(row[2] for row in rows)
    return round(sum(row[1] for row in rows) / prompt, 4) if prompt else 0.0


class ChangeLatencyMonitor:
    """Makes a change each second; measures the time until it is in force."""

    def __init__(self, fleet):
        self.m_fleet = fleet
        self.m_max_seconds = 0.0
        self.m_failures = []
        self.m_count = 0
        self.m_thread = PeriodicThread(1.0, self._change)

    def _change(self):
        self.m_count += 1
        code, output = self.m_fleet.ctl("priority", "set", "p",
                                        f"rank={self.m_count}",
                                        at=self.m_fleet.m_instances[-1])
        accepted = time.monotonic()
        if code != 0:
            self.m_failures.append(output)
            return
        # Instances that are being replaced catch up after their restart.
        steady = [i for i in self.m_fleet.m_instances
                  if not getattr(i, "m_replaced", False)]
        try:
            for instance in steady:
                wait_until(lambda i=instance:
                           (self.m_fleet.revision(i) or 0) >=
                           output["revision"] or
                           getattr(i, "m_replaced", False),
                           19, "in force", interval=0.01)
        except CaseFailure as failure:
            self.m_failures.append(str(failure))
        self.m_max_seconds = max(self.m_max_seconds,
                                 time.monotonic() - accepted)

    def finish(self):
        self.m_thread.finish()
        return round(self.m_max_seconds * 1000)


def replace_engine(fleet, engine):
    """Makes an engine leave, and restarts it without a cache once idle.

    Returns the time in ms for which it received new work after leaving.
    """
    fleet.control(engine, leaving=True)
    time.sleep(4)
    last_work_ms = fleet.stats(engine)["last_work_after_leaving_ms"]
    for _ in range(100):
        if fleet.stats(engine)["running"] == 0:
            break
        time.sleep(0.1)
    fleet.restart(engine)
    return last_work_ms


def replace_instance(fleet, instance):
    instance.m_replaced = True
    instance.m_process.signal(signal.SIGTERM)
    instance.m_process.wait(20)
    fleet.restart(instance)
    wait_until(lambda: fleet.ready(instance), 15,
               "the instance is ready again")
    instance.m_replaced = False


def churn(fleet, last_work_ms):
    """Replaces two engines, and two instances at the same time.

    Appends the result of replace_engine() for each engine to last_work_ms.
    """
    def replace_engines():
        for engine in fleet.m_engines[:2]:
            last_work_ms.append(replace_engine(fleet, engine))

    thread = threading.Thread(target=replace_engines)
    thread.start()
    for instance in fleet.m_instances[:2]:
        replace_instance(fleet, instance)
    thread.join()


def measure_bounded(build, name, deployment):
    with make_fleet(build, name, deployment, "bounded") as fleet:
        prepare_fleet(fleet)
        summary = measure_added_ttft(fleet)
        skew, control = SkewMonitor(fleet), ControlTrafficMonitor(fleet)
        revisions, changes = (RevisionMonitor(fleet),
                              ChangeLatencyMonitor(fleet))
        started = time.monotonic()
        load = start_load(fleet, deployment, RUN_SECONDS)
        time.sleep(CHURN_START - (time.monotonic() - started))
        last_work_ms = []
        churn(fleet, last_work_ms)
        result = load.wait()
        skew.finish()
        counts = count_violations(fleet, [result])
        summary.update({
            "cache_reuse": window_reuse(result, STEADY),
            "cache_reuse_after_churn": window_reuse(result, AFTER_CHURN),
            "cache_reuse_ceiling": reuse_ceiling(
                load.m_trace, 12, CACHE_TOKENS, STEADY),
            "skew_peak": round(skew.peak(*STEADY), 3),
            "skew_peak_surge": round(skew.peak(*SURGE), 3),
            "control_bytes_per_second_peak": round(
                max(control.finish(), default=0)),
            "config_in_force_ms_max": changes.finish(),
            "leaving_stop_ms_max": max(last_work_ms),
            "reverted_configs": len(revisions.finish()),
        })
        for key in ("wrong_answers", "cut_answers", "false_not_run",
                    "doubled_requests"):
            summary[key] = counts[key]
        # Data behind the figures above; users read only those.
        summary["detail"] = {
            "started": result["started"], "completed": result["completed"],
            "tries": result["tries"], "lost_bookings": counts["lost_bookings"],
            "changes": changes.m_count, "changes_missed": changes.m_failures,
            "ttft_ms": result["ttft_ms"],
            "largest_customer_ttft_ms": result["customers"]["customer-0"][
                "ttft_ms"],
            "smallest_customer_ttft_ms": result["customers"]["customer-9"][
                "ttft_ms"],
            "problems": result["problems"][:20]}
        return summary, result, skew.m_samples


def measure_baseline(build, name, deployment, policy):
    with make_fleet(build, name, deployment, policy) as fleet:
        prepare_fleet(fleet)
        skew = SkewMonitor(fleet)
        result = start_load(fleet, deployment, BASELINE_SECONDS).wait()
        skew.finish()
        return {"cache_reuse": window_reuse(result, STEADY),
                "skew_peak": round(skew.peak(*STEADY), 3),
                "skew_peak_surge": round(skew.peak(*SURGE), 3),
                "ttft_ms_p50": result["ttft_ms"]["p50"],
                "ttft_ms_p95": result["ttft_ms"]["p95"]}


def plot(folder, name, result, samples):
    """Plots each engine's load and the cache reuse over time in NAME.svg."""
    data = os.path.join(folder, name)
    with open(data + ".load", "w", encoding="utf-8") as file:
        for at, loads in samples:
            file.write(" ".join(map(str, [at, *loads])) + "\n")
    with open(data + ".reuse", "w", encoding="utf-8") as file:
        for second, cached, prompt, _ in result["seconds"]:
            file.write(f"{second} {cached / max(prompt, 1)}\n")
    script = f"""
set terminal svg size 900,700
set output '{data}.svg'
set multiplot layout 2,1 title '{name}'
set key off
set ylabel 'requests in an engine'
plot for [i=2:13] '{data}.load' using 1:i with lines
set yrange [0:1]
set xlabel 'seconds'
set ylabel 'prompt tokens from cache'
plot '{data}.reuse' with linespoints
"""
    try:
        subprocess.run(["gnuplot"], input=script, text=True, check=True,
                       timeout=30)
    except (OSError, subprocess.SubprocessError) as error:
        print(f"cannot plot with gnuplot: {error}")


def print_table(summary):
    names = list(summary)
    keys = [k for k in summary[names[0]] if k not in ("baseline", "detail")]
    print(f"\n{'':32}" + "".join(f"{name:>16}" for name in names))
    for key in keys:
        print(f"{key:32}" +
              "".join(f"{summary[name][key]:>16}" for name in names))
    for policy in summary[names[0]]["baseline"]:
        for key in summary[names[0]]["baseline"][policy]:
            label = f"{policy} {key}"
            print(f"{label:32}" + "".join(
                f"{summary[name]['baseline'][policy][key]:>16}"
                for name in names))


def main(arguments):
    folder = os.path.join(os.path.abspath(arguments.build), "measure")
    os.makedirs(folder, exist_ok=True)
    summary = {}
    for name, deployment in DEPLOYMENTS.items():
        print(f"{name}: bounded placement", flush=True)
        bounded, result, samples = measure_bounded(arguments.build, name,
                                                   deployment)
        plot(folder, name, result, samples)
        bounded["baseline"] = {}
        for policy in ("random", "least_loaded"):
            print(f"{name}: {policy} placement", flush=True)
            bounded["baseline"][policy] = measure_baseline(
                arguments.build, name, deployment, policy)
        summary[name] = bounded
    path = os.path.join(folder, "summary.json")
    with open(path, "w", encoding="utf-8") as file:
        json.dump(summary, file, indent=1)
    print_table(summary)
    print(f"\nwritten: {os.path.relpath(path)}, and a plot of each deployment")


run_case(main)
