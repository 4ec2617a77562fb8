"""A booking runs at most once.

It is repeated at several instances, the responses of the store and the
service are lost, and the instance that claimed it is killed or suspended.
"""

import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))
from checks import check_no_failed_checks  # noqa: E402
from harness import Fleet, check, http_call, run_case, wait_until  # noqa: E402

RACE_COUNT = 20


def book(instance, key, body="{}", timeout=15):
    return http_call(instance.m_address, "POST", "/v1/services/orders/book",
                     body, {"Authorization": "Bearer token-customer-a",
                            "Idempotency-Key": key}, timeout=timeout)


def run_count(fleet, key):
    return sum(1 for line in fleet.ledger() if line.get("run") == key)


def repeat_until_completed(fleet, key, instances):
    """Repeats a booking until it completes; returns that response."""
    def try_once():
        for instance in instances:
            response = book(instance, key)
            if response[0] == 200:
                return response
        return None
    return wait_until(try_once, 40, f"{key} completes", interval=0.5)


def check_race(fleet, number):
    """The same key sent to two instances at the same time runs once."""
    key = f"race-{number}"
    responses = []
    threads = [threading.Thread(
        target=lambda i=i: responses.append(book(fleet.m_instances[i], key)))
        for i in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(response[0] for response in responses)
    check(statuses in ([200, 200], [200, 409]), f"{key}: {responses}")
    check(run_count(fleet, key) == 1, f"{key}: {run_count(fleet, key)} runs")


def check_replay(fleet):
    """A repeat gets the recorded response; another body is rejected."""
    first = book(fleet.m_instances[0], "replay", '{"a":1}')
    repeat = book(fleet.m_instances[2], "replay", '{"a":1}')
    check(first[0] == 200 and repeat[0] == 200, f"{first} {repeat}")
    check(first[2] == repeat[2], "the repeat got another response")
    other = book(fleet.m_instances[1], "replay", '{"a":2}')
    check(other[0] == 422, f"another body: {other}")
    check(run_count(fleet, "replay") == 1, "not exactly one run")


def check_lost_commits(fleet):
    """When the store's commit responses are lost, a booking runs once."""
    for number in range(5):
        fleet.control(fleet.m_platform, lose_commit_answers=2)
        key = f"lost-{number}"
        repeat_until_completed(fleet, key, fleet.m_instances[:2])
        check(run_count(fleet, key) == 1,
              f"{key}: {run_count(fleet, key)} runs")


def check_lost_response(fleet):
    """When the service's response is lost, a booking runs once."""
    for service in fleet.m_services:
        fleet.control(service, lose_answers=1)
    response = book(fleet.m_instances[0], "unheard")
    check(response[1].get("Nutmeg-Outcome") != "not-run", f"{response}")
    for service in fleet.m_services:
        fleet.control(service, lose_answers=0)
    repeat_until_completed(fleet, "unheard", fleet.m_instances)
    check(run_count(fleet, "unheard") == 1,
          f"{run_count(fleet, 'unheard')} runs")


def check_killed_claimer(fleet):
    """The claiming instance is killed while the service runs the booking."""
    claimer = fleet.m_instances[0]
    for service in fleet.m_services:
        fleet.control(service, run_time_ms=1500)
    thread = threading.Thread(target=book, args=(claimer, "orphan"))
    thread.start()
    wait_until(lambda: any(line.get("begin") == "orphan"
                           for line in fleet.ledger()), 5, "it began")
    claimer.m_process.kill()
    thread.join()
    for service in fleet.m_services:
        fleet.control(service, run_time_ms=20)
    repeat_until_completed(fleet, "orphan", fleet.m_instances[1:])
    check(run_count(fleet, "orphan") == 1,
          f"{run_count(fleet, 'orphan')} runs")
    fleet.start_instance(claimer)
    fleet.wait_ready()


def check_paused_claimer(fleet):
    """The claiming instance is suspended, and the caller tries another one."""
    claimer = fleet.m_instances[0]
    for number in range(3):
        key = f"paused-{number}"
        fleet.control(fleet.m_platform, slow_ms=300)
        thread = threading.Thread(target=book, args=(claimer, key))
        thread.start()
        time.sleep(0.2 + 0.2 * number)
        claimer.m_process.signal(signal.SIGSTOP)
        fleet.control(fleet.m_platform, slow_ms=0)
        response = book(fleet.m_instances[1], key)
        claimer.m_process.signal(signal.SIGCONT)
        thread.join()
        repeat_until_completed(fleet, key, fleet.m_instances)
        check(run_count(fleet, key) == 1,
              f"{key}: {run_count(fleet, key)} runs, {response}")


def main(arguments):
    with Fleet(arguments.build, "service_once", instances=3, engines=1,
               services=3) as fleet:
        fleet.configure()
        fleet.wait_ready()
        for number in range(RACE_COUNT):
            check_race(fleet, number)
        check_replay(fleet)
        check_lost_commits(fleet)
        check_lost_response(fleet)
        check_killed_claimer(fleet)
        check_paused_claimer(fleet)
        check_no_failed_checks(fleet)
        response = book(fleet.m_instances[0], "")
        check(json.loads(response[2]) is not None,
              f"without a key: {response}")


run_case(main)
