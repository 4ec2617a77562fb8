"""A booking runs at most once, whoever repeats it and whatever dies."""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import check_no_failed_checks  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

RACES = 20


def book(instance, key, body="{}", timeout=15):
    return http_call(instance.m_address, "POST", "/v1/services/orders/book",
                     body, {"Authorization": "Bearer token-customer-a",
                            "Idempotency-Key": key}, timeout=timeout)


def runs(fleet, key):
    return sum(1 for line in fleet.ledger() if line.get("run") == key)


def settle(fleet, key, instances):
    """Repeats a booking until it completes; returns the last answer."""
    def tried():
        for instance in instances:
            answer = book(instance, key)
            if answer[0] == 200:
                return answer
        return None
    return wait_until(tried, 40, f"{key} is settled", period=0.5)


def check_race(fleet, number):
    """The same key at two instances at once runs once."""
    key = f"race-{number}"
    answers = []
    threads = [threading.Thread(
        target=lambda i=i: answers.append(book(fleet.m_instances[i], key)))
        for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(answer[0] for answer in answers)
    check(statuses in ([200, 200], [200, 409]), f"{key}: {answers}")
    check(runs(fleet, key) == 1, f"{key}: {runs(fleet, key)} runs")


def check_replay(fleet):
    """A repeat gets the recorded answer; another body is refused."""
    first = book(fleet.m_instances[0], "replay", '{"a":1}')
    again = book(fleet.m_instances[2], "replay", '{"a":1}')
    check(first[0] == 200 and again[0] == 200, f"{first} {again}")
    check(first[2] == again[2], "the repeat gets the same answer")
    other = book(fleet.m_instances[1], "replay", '{"a":2}')
    check(other[0] == 422, f"another body: {other}")
    check(runs(fleet, "replay") == 1, "one run")


def check_lost_commits(fleet):
    """Lost answers of the store's commits neither double nor lose."""
    for number in range(5):
        fleet.control(fleet.m_platform, lose_commit_answers=2)
        key = f"lost-{number}"
        settle(fleet, key, fleet.m_instances[:2])
        check(runs(fleet, key) == 1, f"{key}: {runs(fleet, key)} runs")


def check_lost_answer(fleet):
    """The service ran it and its answer was lost."""
    for service in fleet.m_services:
        fleet.control(service, lose_answers=1)
    answer = book(fleet.m_instances[0], "unheard")
    check(answer[1].get("Nutmeg-Outcome") != "not-run", f"{answer}")
    for service in fleet.m_services:
        fleet.control(service, lose_answers=0)
    settle(fleet, "unheard", fleet.m_instances)
    check(runs(fleet, "unheard") == 1, f"{runs(fleet, 'unheard')} runs")


def check_killed_claimer(fleet):
    """The instance that claimed it dies while the service runs it."""
    victim = fleet.m_instances[0]
    for service in fleet.m_services:
        fleet.control(service, run_time_ms=1500)
    thread = threading.Thread(target=book, args=(victim, "orphan"))
    thread.start()
    wait_until(lambda: any(line.get("begin") == "orphan"
                           for line in fleet.ledger()), 5, "it began")
    victim.m_process.kill()
    thread.join()
    for service in fleet.m_services:
        fleet.control(service, run_time_ms=20)
    settle(fleet, "orphan", fleet.m_instances[1:])
    check(runs(fleet, "orphan") == 1, f"{runs(fleet, 'orphan')} runs")
    fleet.start_instance(victim)
    fleet.wait_ready()


def check_paused_claimer(fleet):
    """An instance is paused in the middle, the caller asks another one."""
    victim = fleet.m_instances[0]
    for number in range(3):
        key = f"paused-{number}"
        fleet.control(fleet.m_platform, slow_ms=300)
        thread = threading.Thread(target=book, args=(victim, key))
        thread.start()
        time.sleep(0.2 + 0.2 * number)
        victim.m_process.signal(signal.SIGSTOP)
        fleet.control(fleet.m_platform, slow_ms=0)
        answer = book(fleet.m_instances[1], key)
        victim.m_process.signal(signal.SIGCONT)
        thread.join()
        settle(fleet, key, fleet.m_instances)
        check(runs(fleet, key) == 1, f"{key}: {runs(fleet, key)} runs, "
              f"{answer}")


def main(arguments):
    with Fleet(arguments.build, "service_once", instances=3, engines=1,
               services=3) as fleet:
        fleet.configure()
        fleet.wait_ready()
        for number in range(RACES):
            check_race(fleet, number)
        check_replay(fleet)
        check_lost_commits(fleet)
        check_lost_answer(fleet)
        check_killed_claimer(fleet)
        check_paused_claimer(fleet)
        check_no_failed_checks(fleet)
        answer = book(fleet.m_instances[0], "")
        check(json.loads(answer[2]) is not None, f"without a key: {answer}")


run_case(main)
