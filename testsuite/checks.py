"""Invariants that a case checks with the records of all sides."""

import collections
import json
import re
import threading
import time

from harness import check


def request_of(attempt_id):
    """Returns the request id of an upstream's X-Request-Id, which carries a
    suffix .N from the second attempt on."""
    return re.sub(r"\.\d+$", "", attempt_id)


def run_counts(fleet, results):
    """Compares what callers were told with what engines and services ran."""
    ran = {request_of(line["run"]) for line in fleet.records()
           if "run" in line}
    runs_of_key = collections.Counter()
    for line in fleet.ledger():
        if "run" in line:
            ran.add(request_of(line["request"]))
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


def check_promises(fleet, results, cut_allowed=False):
    """Fails when a promise of the fleet was broken."""
    counts = run_counts(fleet, results)
    broken = {name: counts[name]
              for name in ("wrong_answers", "false_not_run", "lost_bookings",
                           "doubled_requests") if counts[name]}
    if counts["cut_answers"] and not cut_allowed:
        broken["cut_answers"] = counts["cut_answers"]
    problems = [p for r in results for p in r["problems"]][:10]
    check(not broken, f"broken promises {broken}: {json.dumps(problems)}")
    check_no_failed_checks(fleet)
    return counts


def check_no_failed_checks(fleet):
    """Fails when an instance counted a broken invariant."""
    for instance in fleet.m_instances:
        if instance.m_process.running():
            failed = fleet.metric(instance, "nutmeg_failed_checks_total")
            check(not failed, f"{instance.m_name}: {failed} failed checks")


def check_crashes(fleet, most=2):
    """Fails when one request crashed more engines than allowed."""
    crashes = collections.Counter(
        line["prompt"] for line in fleet.records() if line.get("crash"))
    worst = max(crashes.values(), default=0)
    check(worst <= most, f"one request crashed {worst} engines")
    return crashes


class Watcher(threading.Thread):
    """Calls a function again and again beside the case."""

    def __init__(self, period, function):
        super().__init__(daemon=True)
        self.m_period = period
        self.m_function = function
        self.m_stop = threading.Event()
        self.start()

    def run(self):
        while not self.m_stop.is_set():
            self.m_function()
            time.sleep(self.m_period)

    def finish(self):
        self.m_stop.set()
        self.join()


class Supervisor:
    """Starts processes again that ended, as the users' platform does."""

    def __init__(self, fleet, members, rest=1.0):
        self.m_fleet = fleet
        self.m_members = members
        self.m_rest = rest
        self.m_ended = {}
        self.m_watcher = Watcher(0.1, self._look)

    def _look(self):
        now = time.monotonic()
        for member in self.m_members:
            if member.m_process.running():
                self.m_ended.pop(member.m_name, None)
            elif now - self.m_ended.setdefault(member.m_name, now) > self.m_rest:
                self.m_ended.pop(member.m_name)
                self.m_fleet.restart(member)

    def finish(self):
        self.m_watcher.finish()


class RevisionWatch:
    """Notes each fall of a revision within the life of an instance."""

    def __init__(self, fleet):
        self.m_fleet = fleet
        self.m_seen = {}
        self.m_reverts = []
        self.m_watcher = Watcher(0.2, self._look)

    def _look(self):
        for instance in self.m_fleet.m_instances:
            process = instance.m_process
            revision = self.m_fleet.revision(instance)
            if revision is None or process is not instance.m_process:
                continue
            # An instance that has started again has none at first.
            key = (instance.m_name, process.m_popen.pid)
            if revision < self.m_seen.get(key, 0):
                self.m_reverts.append((instance.m_name, revision))
            self.m_seen[key] = revision

    def finish(self):
        self.m_watcher.finish()
        return self.m_reverts


class SkewWatch:
    """Samples the true load of each engine."""

    def __init__(self, fleet, period=0.1, least_mean=4.0):
        self.m_fleet = fleet
        self.m_least_mean = least_mean
        self.m_started = time.monotonic()
        self.m_samples = []
        self.m_watcher = Watcher(period, self._look)

    def _look(self):
        at = time.monotonic() - self.m_started
        loads = []
        for engine in self.m_fleet.m_engines:
            stats = self.m_fleet.stats(engine)
            if not stats:
                return  # One is down; the mean is not defined.
            loads.append(stats["running"] + stats["queued"])
        self.m_samples.append((at, loads))

    def finish(self):
        self.m_watcher.finish()
        return self.m_samples

    def peak(self, start=0.0, end=float("inf")):
        """Returns the highest load over the mean load."""
        worst = 0.0
        for at, loads in self.m_samples:
            mean = sum(loads) / len(loads)
            if start <= at < end and mean >= self.m_least_mean:
                worst = max(worst, max(loads) / mean)
        return worst


class ControlWatch:
    """Samples the control bytes a second of each instance."""

    def __init__(self, fleet):
        self.m_fleet = fleet
        self.m_last = {}
        self.m_rates = []
        self.m_watcher = Watcher(1.0, self._look)

    def _look(self):
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
        self.m_watcher.finish()
        return self.m_rates
