"""A seeded run that mixes faults of all kinds, then checks every promise.

The seed fixes the load and the order of the faults, not the exact timing.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import RevisionWatch, Supervisor, check_crashes  # noqa: E402
from checks import check_promises  # noqa: E402
from harness import Fleet, check, run_case, seeded, wait_until  # noqa: E402

SETTINGS = """
[drain]
keep_ms = 1500
limit_ms = 20000

[upstreams]
first_byte_timeout_ms = 5000
idle_timeout_ms = 2000
"""
IN_FORCE_LIMIT = 19


class FaultMix:
    """Draws faults and brings them about; undoes those that last."""

    def __init__(self, fleet, random):
        self.m_fleet = fleet
        self.m_random = random
        self.m_undo = []  # (time, function)
        self.m_accepted = 0
        self.m_faults = [
            self.kill_instance, self.pause_instance, self.stop_instance,
            self.store_away, self.store_slow, self.lose_commits,
            self.silence, self.cut, self.kill_upstream, self.trouble_engine,
            self.trouble_service, self.partition, self.change]

    def step(self):
        self.undo_due()
        fault = self.m_random.choice(self.m_faults)
        print(f"{time.monotonic():.1f} {fault.__name__}", flush=True)
        fault()

    def undo_due(self, everything=False):
        due = [entry for entry in self.m_undo
               if everything or entry[0] <= time.monotonic()]
        self.m_undo = [entry for entry in self.m_undo if entry not in due]
        for _, function in due:
            function()

    def later(self, low, high, function):
        at = time.monotonic() + self.m_random.uniform(low, high)
        self.m_undo.append((at, function))

    def one(self, members):
        return self.m_random.choice(members)

    def instance(self):
        return self.one(self.m_fleet.m_instances)

    def kill_instance(self):
        self.instance().m_process.kill()

    def pause_instance(self):
        process = self.instance().m_process
        process.signal(signal.SIGSTOP)
        self.later(1, 10, lambda: process.signal(signal.SIGCONT))

    def stop_instance(self):
        self.instance().m_process.signal(signal.SIGTERM)

    def store_away(self):
        switch = self.one(["outage", "silent"])
        self.m_fleet.control(self.m_fleet.m_platform, **{switch: True})
        self.later(2, 8, lambda: self.m_fleet.control(
            self.m_fleet.m_platform, **{switch: False}))

    def store_slow(self):
        self.m_fleet.control(self.m_fleet.m_platform, slow_ms=400)
        self.later(2, 6, lambda: self.m_fleet.control(
            self.m_fleet.m_platform, slow_ms=0))

    def lose_commits(self):
        self.m_fleet.control(self.m_fleet.m_platform,
                             lose_commit_answers=self.m_random.randrange(1, 6))

    def links(self):
        fleet = self.m_fleet
        names = [m.m_name for m in [fleet.m_platform, *fleet.m_engines,
                                    *fleet.m_services, *fleet.m_instances]]
        names += ["peer-" + i.m_name for i in fleet.m_instances]
        return self.m_random.sample(names, 5)

    def silence(self):
        self.m_fleet.proxy(self.links(), silence_open=True)

    def cut(self):
        self.m_fleet.proxy(self.links(), cut_count=2,
                           cut_after=self.m_random.randrange(1, 5000))
        self.m_fleet.proxy(self.links(), reset_open=True)

    def kill_upstream(self):
        self.one(self.m_fleet.m_engines +
                 self.m_fleet.m_services).m_process.kill()

    def trouble_engine(self):
        engine = self.one(self.m_fleet.m_engines)
        name, bad, good = self.one([
            ("leaving", True, False), ("refuse", True, False),
            ("silent", True, False), ("slow_factor", 4.0, 1.0),
            ("garble_ids", 2, 0), ("cross_answers", 2, 0),
            ("break_streams", 2, 0), ("stall_streams", 1, 0)])
        self.upstream_switch(engine, name, bad)
        self.later(2, 6, lambda: self.upstream_switch(engine, name, good))

    def trouble_service(self):
        service = self.one(self.m_fleet.m_services)
        name, bad, good = self.one([
            ("lose_answers", 2, 0), ("refuse", True, False),
            ("silent", True, False), ("garble_ids", 1, 0),
            ("run_time_ms", 800, 20)])
        self.upstream_switch(service, name, bad)
        self.later(2, 6, lambda: self.upstream_switch(service, name, good))

    def upstream_switch(self, member, name, value):
        try:
            self.m_fleet.control(member, break_after=1500, **{name: value})
        except Exception as failure:  # It is down, and forgets its switches.
            print(f"  {member.m_name}: {failure}")

    def partition(self):
        instances = list(self.m_fleet.m_instances)
        self.m_random.shuffle(instances)
        few, many = instances[:3], instances[3:]
        self.m_fleet.partition(few, many)
        self.later(3, 8, lambda: self.m_fleet.partition(few, many,
                                                        blocked=False))

    def change(self):
        """Two operators change something, through two instances."""
        for _ in range(2):
            code, answer = self.m_fleet.ctl(
                "priority", "set", "p", f"rank={self.m_random.randrange(100)}",
                at=self.instance())
            if code == 0:
                self.m_accepted = max(self.m_accepted, answer["revision"])


def main(arguments):
    random = seeded(arguments.seed)
    seconds = arguments.seconds or 60
    name = f"random_run_{arguments.seed}"
    with Fleet(arguments.build, name, engines=6, services=3, proxy=True,
               settings=SETTINGS) as fleet:
        fleet.configure()
        fleet.wait_ready()
        supervisor = Supervisor(fleet, [*fleet.m_instances, *fleet.m_engines,
                                        *fleet.m_services], rest=2.0)
        watch = RevisionWatch(fleet)
        load = fleet.start_load(
            rate=25, seconds=seconds, finish_seconds=60, seed=arguments.seed,
            mix="long:2,short:2,label:1,service:2", most_tries=12,
            crash_calls=2, first_byte_timeout_ms=8000, idle_timeout_ms=4000)
        mix = FaultMix(fleet, random)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(random.uniform(1.0, 4.0))
            mix.step()
        mix.undo_due(everything=True)
        result = load.wait()
        fleet.wait_ready(60)
        wait_until(lambda: all((fleet.revision(i) or 0) >= mix.m_accepted
                               for i in fleet.m_instances), IN_FORCE_LIMIT,
                   f"revision {mix.m_accepted} in force everywhere")
        supervisor.finish()
        reverts = watch.finish()
        print(f"started {result['started']}, completed {result['completed']},"
              f" tries {result['tries']}")
        check(not reverts, f"reverts: {reverts}")
        check_promises(fleet, [result], cut_allowed=True)
        check(result["unfinished"] == 0, f"unfinished: {result['unfinished']}")
        check_crashes(fleet)


run_case(main)
