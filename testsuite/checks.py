"""Checks guarantees against the records of callers, engines and services."""

import collections
import json
import re
import threading
import time

from harness import check


def base_request_id(attempt_id):
    """Returns the request id of an X-Request-Id that an upstream received.

    From the second attempt on, the header ends in the suffix .N.
    """
    return re.sub(r"\.\d+$", "", attempt_id)


def count_violations(fleet, results):
    """Counts violated guarantees and unfinished calls.

    Compares the results of load runs with the requests that engines and
    services recorded as run.
    """
    ran = {base_request_id(line["run"]) for line in fleet.records()
           if "run" in line}
    runs_of_key = collections.Counter()
    for line in fleet.ledger():
        if "run" in line:
            ran.add(base_request_id(line["request"]))
            runs_of_key[line["run"]] += 1
    counts = collections.Counter()
    for result in results:
        counts["wrong_answers"] += result["tries"].get("wrong", 0)
        counts["cut_answers"] += result["tries"].get("cut", 0)
        counts["false_not_run"] += len(ran & set(result["not_run_ids"]))
        counts["lost_bookings"] += sum(
            1 for key in result["completed_keys"] if runs_of_key[key] == 0)
        counts["unfinished"] += result["unfinished"]
    counts["doubled_requests"] = sum(
        1 for count in runs_of_key.values() if count > 1)
    return counts


def check_guarantees(fleet, results, cut_allowed=False):
    """Fails when a guarantee of the fleet was violated; returns the counts.

    Truncated responses count as a violation unless cut_allowed is set.
    """
    counts = count_violations(fleet, results)
    violated = {name: counts[name]
                for name in ("wrong_answers", "false_not_run",
                             "lost_bookings", "doubled_requests")
                if counts[name]}
    if counts["cut_answers"] and not cut_allowed:
        violated["cut_answers"] = counts["cut_answers"]
    problems = [p for r in results for p in r["problems"]][:10]
    check(not violated,
          f"violated guarantees {violated}: {json.dumps(problems)}")
    check_no_failed_checks(fleet)
    return counts


def check_no_failed_checks(fleet):
    """Fails when a running instance reports failed internal checks."""
    for instance in fleet.m_instances:
        if instance.m_process.running():
            failed = fleet.metric(instance, "nutmeg_failed_checks_total")
            check(not failed, f"{instance.m_name}: {failed} failed checks")


def check_crashes(fleet, max_engines=2):
    """Fails when one request crashed more than max_engines engines."""
    crashes = collections.Counter(
        line["prompt"] for line in fleet.records() if line.get("crash"))
    worst = max(crashes.values(), default=0)
    check(worst <= max_engines, f"one request crashed {worst} engines")
    return crashes


class PeriodicThread(threading.Thread):
    """Calls a function in a background thread until finish() is called.

    Waits for interval seconds after each call.
    """

    def __init__(self, interval, function):
        super().__init__(daemon=True)
        self.m_interval = interval
        self.m_function = function
        self.m_stop = threading.Event()
        self.start()

    def run(self):
        while not self.m_stop.is_set():
            self.m_function()
            time.sleep(self.m_interval)

    def finish(self):
        self.m_stop.set()
        self.join()


class Supervisor:
    """Restarts processes that exited, restart_delay seconds later.

    Stands in for the process supervision of the users' platform.
    """

    def __init__(self, fleet, members, restart_delay=1.0):
        self.m_fleet = fleet
        self.m_members = members
        self.m_restart_delay = restart_delay
        self.m_exited_at = {}
        self.m_thread = PeriodicThread(0.1, self._restart_exited)

    def _restart_exited(self):
        now = time.monotonic()
        for member in self.m_members:
            if member.m_process.running():
                self.m_exited_at.pop(member.m_name, None)
            elif (now - self.m_exited_at.setdefault(member.m_name, now) >
                  self.m_restart_delay):
                self.m_exited_at.pop(member.m_name)
                self.m_fleet.restart(member)

    def finish(self):
        self.m_thread.finish()


class RevisionMonitor:
    """Records each decrease of an instance's revision within one process."""

    def __init__(self, fleet):
        self.m_fleet = fleet
        self.m_last_revisions = {}
        self.m_reverts = []
        self.m_thread = PeriodicThread(0.2, self._sample)

    def _sample(self):
        for instance in self.m_fleet.m_instances:
            process = instance.m_process
            revision = self.m_fleet.revision(instance)
            if revision is None or process is not instance.m_process:
                continue
            # A restarted instance has no revision at first, so revisions are
            # compared within one process only.
            key = (instance.m_name, process.m_popen.pid)
            if revision < self.m_last_revisions.get(key, 0):
                self.m_reverts.append((instance.m_name, revision))
            self.m_last_revisions[key] = revision

    def finish(self):
        self.m_thread.finish()
        return self.m_reverts


class SkewMonitor:
    """Samples the running and queued requests that the engines report."""

    def __init__(self, fleet, interval=0.1, min_mean=4.0):
        self.m_fleet = fleet
        self.m_min_mean = min_mean
        self.m_started = time.monotonic()
        self.m_samples = []
        self.m_thread = PeriodicThread(interval, self._sample)

    def _sample(self):
        at = time.monotonic() - self.m_started
        loads = []
        for engine in self.m_fleet.m_engines:
            stats = self.m_fleet.stats(engine)
            if not stats:
                return  # An engine is down; the mean is not defined.
            loads.append(stats["running"] + stats["queued"])
        self.m_samples.append((at, loads))

    def finish(self):
        self.m_thread.finish()
        return self.m_samples

    def peak(self, start=0.0, end=float("inf")):
        """Returns the maximum ratio of an engine's load to the mean load.

        Covers the samples from start to end, in seconds since construction,
        that have a mean load of at least m_min_mean requests.
        """
        worst = 0.0
        for at, loads in self.m_samples:
            mean = sum(loads) / len(loads)
            if start <= at < end and mean >= self.m_min_mean:
                worst = max(worst, max(loads) / mean)
        return worst


class ControlTrafficMonitor:
    """Samples the control traffic of each instance in bytes per second."""

    def __init__(self, fleet):
        self.m_fleet = fleet
        self.m_last = {}
        self.m_rates = []
        self.m_thread = PeriodicThread(1.0, self._sample)

    def _sample(self):
        for instance in self.m_fleet.m_instances:
            at = time.monotonic()
            sent = self.m_fleet.metric(
                instance, "nutmeg_control_bytes_total", 'direction="sent"')
            received = self.m_fleet.metric(
                instance, "nutmeg_control_bytes_total",
                'direction="received"')
            if sent is None or received is None:
                self.m_last.pop(instance.m_name, None)
                continue
            last = self.m_last.get(instance.m_name)
            self.m_last[instance.m_name] = (at, sent + received)
            if last is not None and sent + received >= last[1]:
                self.m_rates.append((sent + received - last[1]) /
                                    (at - last[0]))

    def finish(self):
        self.m_thread.finish()
        return self.m_rates
