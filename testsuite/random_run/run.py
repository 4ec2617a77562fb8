"""Injects random faults of all kinds under load, and checks all guarantees.

The seed determines the load and the order of faults, but not the timing.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionMonitor, Supervisor, check_crashes  # noqa: E402
from checks import check_guarantees  # noqa: E402
from harness import Fleet, check, make_random, run_case  # noqa: E402
from harness import wait_until  # noqa: E402

SETTINGS = """
[drain]
keep_ms = 1500
limit_ms = 20000

[upstreams]
first_byte_timeout_ms = 5000
idle_timeout_ms = 2000
"""
IN_FORCE_TIMEOUT_SECONDS = 19


class FaultInjector:
    """Injects random faults, and undoes lasting ones after a random time."""

    def __init__(self, fleet, random):
        self.m_fleet = fleet
        self.m_random = random
        self.m_undo = []  # (time, function)
        self.m_accepted = 0
        self.m_faults = [
            self.kill_instance, self.pause_instance, self.stop_instance,
            self.store_outage, self.store_slow, self.lose_commits,
            self.silence_connections, self.cut_connections,
            self.kill_upstream, self.degrade_engine, self.degrade_service,
            self.partition, self.change_configuration]

    def inject_next(self):
        self.undo_due()
        fault = self.m_random.choice(self.m_faults)
        print(f"{time.monotonic():.1f} {fault.__name__}", flush=True)
        fault()

    def undo_due(self, all_entries=False):
        due = [entry for entry in self.m_undo
               if all_entries or entry[0] <= time.monotonic()]
        self.m_undo = [entry for entry in self.m_undo if entry not in due]
        for _, function in due:
            function()

    def schedule_undo(self, low, high, function):
        at = time.monotonic() + self.m_random.uniform(low, high)
        self.m_undo.append((at, function))

    def pick(self, members):
        return self.m_random.choice(members)

    def pick_instance(self):
        return self.pick(self.m_fleet.m_instances)

    def kill_instance(self):
        self.pick_instance().m_process.kill()

    def pause_instance(self):
        process = self.pick_instance().m_process
        process.signal(signal.SIGSTOP)
        self.schedule_undo(1, 10, lambda: process.signal(signal.SIGCONT))

    def stop_instance(self):
        self.pick_instance().m_process.signal(signal.SIGTERM)

    def store_outage(self):
        switch = self.pick(["outage", "silent"])
        self.m_fleet.control(self.m_fleet.m_platform, **{switch: True})
        self.schedule_undo(2, 8, lambda: self.m_fleet.control(
            self.m_fleet.m_platform, **{switch: False}))

    def store_slow(self):
        self.m_fleet.control(self.m_fleet.m_platform, slow_ms=400)
        self.schedule_undo(2, 6, lambda: self.m_fleet.control(
            self.m_fleet.m_platform, slow_ms=0))

    def lose_commits(self):
        self.m_fleet.control(self.m_fleet.m_platform,
                             lose_commit_answers=self.m_random.randrange(1, 6))

    def pick_links(self):
        fleet = self.m_fleet
        names = [m.m_name for m in [fleet.m_platform, *fleet.m_engines,
                                    *fleet.m_services, *fleet.m_instances]]
        names += ["peer-" + i.m_name for i in fleet.m_instances]
        return self.m_random.sample(names, 5)

    def silence_connections(self):
        self.m_fleet.proxy(self.pick_links(), silence_open=True)

    def cut_connections(self):
        self.m_fleet.proxy(self.pick_links(), cut_count=2,
                           cut_after=self.m_random.randrange(1, 5000))
        self.m_fleet.proxy(self.pick_links(), reset_open=True)

    def kill_upstream(self):
        self.pick(self.m_fleet.m_engines +
                  self.m_fleet.m_services).m_process.kill()

    def degrade_engine(self):
        engine = self.pick(self.m_fleet.m_engines)
        name, bad, good = self.pick([
            ("leaving", True, False), ("refuse", True, False),
            ("silent", True, False), ("slow_factor", 4.0, 1.0),
            ("garble_ids", 2, 0), ("cross_answers", 2, 0),
            ("break_streams", 2, 0), ("stall_streams", 1, 0)])
        self.control_upstream(engine, name, bad)
        self.schedule_undo(2, 6, lambda: self.control_upstream(
            engine, name, good))

    def degrade_service(self):
        service = self.pick(self.m_fleet.m_services)
        name, bad, good = self.pick([
            ("lose_answers", 2, 0), ("refuse", True, False),
            ("silent", True, False), ("garble_ids", 1, 0),
            ("run_time_ms", 800, 20)])
        self.control_upstream(service, name, bad)
        self.schedule_undo(2, 6, lambda: self.control_upstream(
            service, name, good))

    def control_upstream(self, member, name, value):
        try:
            self.m_fleet.control(member, break_after=1500, **{name: value})
        except Exception as failure:  # It is down; its restart resets faults.
            print(f"  {member.m_name}: {failure}")

    def partition(self):
        instances = list(self.m_fleet.m_instances)
        self.m_random.shuffle(instances)
        minority, majority = instances[:3], instances[3:]
        self.m_fleet.partition(minority, majority)
        self.schedule_undo(3, 8, lambda: self.m_fleet.partition(
            minority, majority, blocked=False))

    def change_configuration(self):
        """Makes two changes, each through a random instance."""
        for _ in range(2):
            code, output = self.m_fleet.ctl(
                "priority", "set", "p", f"rank={self.m_random.randrange(100)}",
                at=self.pick_instance())
            if code == 0:
                self.m_accepted = max(self.m_accepted, output["revision"])


def main(arguments):
    random = make_random(arguments.seed)
    seconds = arguments.seconds or 60
    name = f"random_run_{arguments.seed}"
    with Fleet(arguments.build, name, engines=6, services=3, proxy=True,
               settings=SETTINGS) as fleet:
        fleet.configure()
        fleet.wait_ready()
        supervisor = Supervisor(fleet, [*fleet.m_instances, *fleet.m_engines,
                                        *fleet.m_services], restart_delay=2.0)
        monitor = RevisionMonitor(fleet)
        load = fleet.start_load(
            rate=25, seconds=seconds, finish_seconds=60, seed=arguments.seed,
            mix="long:2,short:2,label:1,service:2", most_tries=12,
            crash_calls=2, first_byte_timeout_ms=8000, idle_timeout_ms=4000)
        injector = FaultInjector(fleet, random)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(random.uniform(1.0, 4.0))
            injector.inject_next()
        injector.undo_due(all_entries=True)
        result = load.wait()
        fleet.wait_ready(60)
        wait_until(lambda: all((fleet.revision(i) or 0) >= injector.m_accepted
                               for i in fleet.m_instances),
                   IN_FORCE_TIMEOUT_SECONDS,
                   f"revision {injector.m_accepted} in force everywhere")
        supervisor.finish()
        reverts = monitor.finish()
        print(f"started {result['started']}, completed {result['completed']},"
              f" tries {result['tries']}")
        check(not reverts, f"reverts: {reverts}")
        check_guarantees(fleet, [result], cut_allowed=True)
        check(result["unfinished"] == 0, f"unfinished: {result['unfinished']}")
        check_crashes(fleet)


run_case(main)
