"""A request with two lengths, whose body holds another request."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import fleet  # noqa: E402
from fleet import TROUBLE, standin  # noqa: E402

REQUESTS = 5


class Server(standin.Server):
    """Records each run."""

    m_record = None

    def _whole(self, body, seal):
        self.m_record(self.m_name, "runs", seal["Request-Id"])
        return super()._whole(body, seal)


def outer(number, inner):
    """Returns a request whose body is the text of another one.

    The client means the body to be of len(inner) bytes: the request ends with
    it, and the client sends no second request.
    """
    length = str(len(inner))
    lengths = ["0", length] if TROUBLE else [length]
    fields = "".join(f"Content-Length: {one}\r\n" for one in lengths)
    start = fleet.head("POST", "/order/outer", f"outer-{number}", 3000)
    return start[:-2] + fields.encode() + b"\r\n" + inner


def run(record):
    store = standin.Store()
    servers = [Server(f"server-{index}", "plain", store) for index in range(2)]
    for server in servers:
        server.m_record = record
        server.register()
    store.put("op", "config", fleet.manifest(
        10, [fleet.route("order", "unsafe", "plain", maxAttempts=1)]))
    deployment = fleet.Fleet(1, store.m_address)
    instance = deployment.m_instances[0]
    try:
        if not deployment.wait_ready():
            return fleet.NOT_RUN
        answered = 0
        for number in range(REQUESTS):
            channel = fleet.connect(instance.m_front, 2)
            inner = fleet.head("POST", "/order/inner", f"inner-{number}",
                               3000, **{"Content-Length": "0"})
            record("client sends outer-%d with a body of %d bytes" %
                   (number, len(inner)))
            channel.sendall(outer(number, inner))
            status, fields, _ = fleet.read_response(channel)
            record("client gets", status, fields.get("request-id"))
            answered += status is not None
            status, fields, _ = fleet.read_response(channel)
            record("client gets, with no request waiting:", status,
                   fields.get("request-id"))
            channel.close()
        time.sleep(0.5)
        smuggled = [one for server in servers for one in server.m_runs
                    if one.startswith("inner-")]
        record("requests smuggled inside another one that a server ran:",
               len(smuggled), *smuggled)
        if instance.m_process.poll() is not None:
            return fleet.NOT_RUN
        if not TROUBLE and answered < REQUESTS:
            return fleet.NOT_RUN
        return fleet.BROKEN if smuggled else fleet.HELD
    finally:
        deployment.stop()
        deployment.remove_folder()


if __name__ == "__main__":
    fleet.main(run, os.path.join(FOLDER, "record.txt"))
