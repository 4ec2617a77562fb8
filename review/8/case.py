"""Answers without a length that break off before the request is read."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))

import fleet  # noqa: E402
from fleet import TROUBLE, standin  # noqa: E402

# Mean size of the requests of the first kind on the site's sheet.
BODY_BYTES = 12000
REQUESTS = 240
PAUSE_S = 0.05
SERVERS = 4
# So many of them break off one in so many of their answers.
FAULTY_SERVERS = 2
BROKEN_EVERY = 20


class Server:
    """Ends its answers with the channel, as the pages allow."""

    def __init__(self, name, breaks_off, record, store):
        self.m_name = name
        self.m_breaks_off = breaks_off
        self.m_record = record
        self.m_count = 0
        self.m_broken_off = 0
        self.m_lock = threading.Lock()
        self.m_whole = {}  # Body of each answer, by request.
        self.m_listener = socket.socket()
        self.m_listener.bind(("127.0.0.1", 0))
        self.m_listener.listen(128)
        threading.Thread(target=self._accept, daemon=True).start()
        store.put("servers", name, {
            "service": "plain", "data_centre": "zone-a", "version": "v1",
            "address": "127.0.0.1:%d" % self.m_listener.getsockname()[1],
            "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1700000000000})

    def _accept(self):
        while True:
            channel, _ = self.m_listener.accept()
            threading.Thread(target=self._serve, args=(channel,),
                             daemon=True).start()

    def _serve(self, channel):
        head = b""
        while b"\r\n\r\n" not in head:
            # Byte by byte, so that the body stays unread.
            more = channel.recv(1)
            if not more:
                channel.close()
                return
            head += more
        fields = {}
        for line in head.decode("latin-1").split("\r\n")[1:]:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        if fields.get("expect-instance") != self.m_name:
            channel.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n"
                            b"Connection: close\r\n\r\n")
            channel.close()
            return
        request_id = fields["request-id"]
        with self.m_lock:
            self.m_count += 1
            breaks = (self.m_breaks_off
                      and self.m_count % BROKEN_EVERY == 0)
        body = (request_id + " booked, receipt ").encode() + b"r" * 800
        self.m_whole[request_id] = body
        answer = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                  f"Server-Seal: seal-{self.m_name}\r\n"
                  "Connection: close\r\n\r\n").encode()
        if breaks:
            self.m_record(self.m_name, "runs", request_id,
                          "and breaks its answer off; the request's body is "
                          "unread")
            self.m_broken_off += 1
            # With the end of the output in one segment, so that the reset
            # follows it before a reader has read both.
            channel.send(answer + body[:len(body) // 2], socket.MSG_MORE)
            # As the Python library's socketserver ends a channel when a
            # handler fails. Since bytes are unread, the system resets it.
            channel.shutdown(socket.SHUT_WR)
            channel.close()
            return
        left = int(fields["content-length"])
        while left:
            left -= len(channel.recv(min(left, 65536)))
        self.m_record(self.m_name, "runs", request_id)
        channel.sendall(answer + body)
        channel.shutdown(socket.SHUT_WR)
        channel.close()


def run(record):
    store = standin.Store()
    servers = [Server(f"server-{index}", TROUBLE and index < FAULTY_SERVERS,
                      record, store) for index in range(SERVERS)]
    store.put("op", "config", fleet.manifest(
        10, [fleet.route("order", "unsafe", "plain", maxAttempts=1)]))
    deployment = fleet.Fleet(1, store.m_address)
    instance = deployment.m_instances[0]
    try:
        if not deployment.wait_ready():
            return fleet.NOT_RUN
        time.sleep(3)
        wrong = []
        served = 0
        for number in range(REQUESTS):
            request_id = f"order-{number}"
            with fleet.connect(instance.m_front) as channel:
                channel.sendall(
                    fleet.head("POST", "/order/x", request_id, 3000,
                               **{"Content-Length": str(BODY_BYTES)}) +
                    b"o" * BODY_BYTES)
                status, fields, body = fleet.read_response(channel)
            whole = [server.m_whole[request_id] for server in servers
                     if request_id in server.m_whole]
            record("answered", request_id, status, len(body), "bytes of",
                   len(whole[0]) if whole else 0, "Server-Seal:",
                   fields.get("server-seal"))
            if status == 200:
                served += 1
                if whole != [body]:
                    wrong.append(request_id)
            time.sleep(PAUSE_S)
        record("served", served, "of", REQUESTS)
        record("success with a body that isn't the server's whole body:",
               len(wrong), *wrong)
        broken_off = sum(server.m_broken_off for server in servers)
        record("answers that were broken off:", broken_off)
        if served < REQUESTS / 2 or (TROUBLE and not broken_off):
            return fleet.NOT_RUN
        # A sound instance that looks for the reset when it reads the end could
        # still miss a few, which is not counted against it.
        return fleet.BROKEN if 2 * len(wrong) > broken_off else fleet.HELD
    finally:
        deployment.stop()
        deployment.remove_folder()


if __name__ == "__main__":
    fleet.main(run, os.path.join(FOLDER, "record.txt"))
