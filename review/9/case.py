"""Requests with a key on a route that is open to all, in an outage of the store."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import fleet  # noqa: E402
from fleet import TROUBLE, standin  # noqa: E402

OUTAGE_S = 4.5
AFTER_S = 4
INSTANCES = 3
TENANT = "tenant-1"


class Server(standin.Server):
    """Records the tenant of each request that it runs."""

    m_record = None
    m_tenants = None

    def _respond(self, request):
        if request.m_headers.get("expect-instance") == self.m_name:
            request_id = request.m_headers["request-id"]
            tenant = request.m_headers.get("tenant")
            self.m_tenants[request_id] = tenant
            self.m_record(self.m_name, "runs", request_id, "Tenant:", tenant)
        return super()._respond(request)


def run(record):
    store = standin.Store()
    tenants = {}
    servers = [Server(f"server-{index}", "plain", store) for index in range(2)]
    for server in servers:
        server.m_record = record
        server.m_tenants = tenants
        server.register()
    store.put("op", "config", fleet.manifest(
        10, [fleet.route("open", "unsafe", "plain", maxAttempts=1,
                         allowAnonymous=True)],
        tenants=[{"name": TENANT, "apiKeys": ["key-1"]},
                 {"name": "tenant-2", "apiKeys": ["key-2"]}]))
    deployment = fleet.Fleet(INSTANCES, store.m_address)
    instance = deployment.m_instances[0]

    def send(number):
        request_id = f"order-{number}"
        instance = deployment.m_instances[number % INSTANCES]
        with fleet.connect(instance.m_front) as channel:
            record("sent", request_id, "to", instance.m_name,
                   "with the key of", TENANT)
            channel.sendall(fleet.head("POST", "/open/x", request_id, 3000,
                                       **{"Content-Length": "0"}))
            status, _, _ = fleet.read_response(channel)
            record("answered", request_id, status)

    try:
        if not deployment.wait_ready():
            return fleet.NOT_RUN
        time.sleep(3)
        started = time.monotonic()
        if TROUBLE:
            record("the store answers 503")
            store.m_fault = "busy"
        number = 0
        while time.monotonic() < started + OUTAGE_S + AFTER_S:
            if store.m_fault and time.monotonic() >= started + OUTAGE_S:
                store.m_fault = None
                record("the store answers again")
            number += 1
            send(number)
            time.sleep(0.1)
        time.sleep(0.3)
        wrong = [request_id for request_id, tenant in tenants.items()
                 if tenant != TENANT]
        record("run without the tenant that holds the key:", len(wrong),
               *wrong)
        return fleet.BROKEN if wrong else fleet.HELD
    finally:
        deployment.stop()
        deployment.remove_folder()


if __name__ == "__main__":
    fleet.main(run, FOLDER)
