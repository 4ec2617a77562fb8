"""Heads of requests and responses within the limits, on kept channels."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import fleet  # noqa: E402
from fleet import TROUBLE, standin  # noqa: E402

CHANNELS = 8
LOST_ALLOWED = 3  # RULES.md: "more than three times".
# Fields of the request beside the usual ones, 80 bytes each: the head has
# about 15,200 bytes of the 16,384 that the manifest allows.
REQUEST_FIELDS = 188 if TROUBLE else 20
RESPONSE_FIELD_BYTES = 500
RESPONSE_FIELDS = 4


class Server(standin.Server):
    """Adds some fields to its responses, such as cookies."""

    m_record = None

    def _whole(self, body, seal):
        self.m_record(self.m_name, "runs", seal["Request-Id"])
        more = {f"X-Server-{number}": "v" * RESPONSE_FIELD_BYTES
                for number in range(RESPONSE_FIELDS)}
        return super()._whole(body, {**seal, **more})


def run(record):
    store = standin.Store()
    servers = [Server(f"server-{index}", "plain", store) for index in range(2)]
    for server in servers:
        server.m_record = record
        server.register()
    configuration = fleet.manifest(
        10, [fleet.route("order", "unsafe", "plain", maxAttempts=1)])
    limit = configuration["limits"]["maxHeaderBytes"]
    store.put("op", "config", configuration)
    deployment = fleet.Fleet(1, store.m_address)
    instance = deployment.m_instances[0]
    more = {f"X{number:03d}": "a" * 72 for number in range(REQUEST_FIELDS)}
    try:
        if not deployment.wait_ready():
            return fleet.NOT_RUN
        time.sleep(3)  # In touch: stableWindowMs without trouble.
        lost = []
        for number in range(CHANNELS):
            channel = fleet.connect(instance.m_front, 5)
            for name, fields in (("small", {}), ("order", more)):
                request_id = f"{name}-{number}"
                head = fleet.head("POST", "/order/x", request_id, 3000,
                                  **{"Content-Length": "0", **fields})
                if len(head) > limit:
                    return fleet.NOT_RUN
                record("sent", request_id, "head of", len(head), "bytes")
                channel.sendall(head)
                status, _, _ = fleet.read_response(channel)
                ran = sum(server.m_runs.count(request_id)
                          for server in servers)
                record("answered", request_id,
                       "channel closed" if status is None else status,
                       "runs", ran)
                if status is None and ran:
                    lost.append(request_id)
                if name == "small" and status != 200:
                    return fleet.NOT_RUN
            channel.close()
        record("passed on from a kept channel, channel closed without an "
               "answer:", len(lost), *lost)
        return fleet.BROKEN if len(lost) > LOST_ALLOWED else fleet.HELD
    finally:
        deployment.stop()
        deployment.remove_folder()


if __name__ == "__main__":
    fleet.main(run, os.path.join(FOLDER, "record.txt"))
