"""Starts the router daemon as the deploy file says, for the cases of review/.

The daemon is the program of deploy/system.toml with settings rendered from
deploy/settings.toml.in, one process for each machine of a small deployment.
The platform's store is the project's own stand-in.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "platform", "testing"))
sys.dont_write_bytecode = True

import standin  # noqa: E402

HOST = "review.example"
KEY = "review-key-1"
TENANT = "tenant-1"
# The zones and the number of machines of sites/vuhf-pasroute.toml.
ZONES = (("utrecht-a", 3), ("amersfoort-b", 2), ("zeist-c", 2))
REGION = "nl-midden"
BOUNDS = {"graceS": 8, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetSlack": 54, "budgetWindowS": 10, "drainMs": 2000,
          "configApplyMs": 2000, "stableWindowMs": 3000}
READY_SECONDS = 15
# A case that takes longer could not run.
CASE_SECONDS = 100


def trouble():
    """Returns whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def render(template, fields):
    """Fills in a template as DEPLOY.md describes it (the parts in use)."""
    def find(path):
        value = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)]
            elif isinstance(value, dict) and name in value:
                value = value[name]
            else:
                return None
        return value

    def section(match):
        value = find(match.group(1))
        return match.group(2) if value not in (None, False, []) else ""

    def placeholder(match):
        path, _, form = match.group(1).partition("|")
        value = find(path)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.DOTALL)
    return re.sub(r"\{\{([\w.|]+)\}\}", placeholder, text)


class Record:
    """Writes record.txt: what was sent, answered and run, in order."""

    def __init__(self, folder):
        self.m_started = time.monotonic()
        self.m_lock = threading.Lock()
        self.m_file = open(os.path.join(folder, "record.txt"), "w",
                           encoding="utf-8")

    def note(self, text):
        with self.m_lock:
            elapsed = time.monotonic() - self.m_started
            self.m_file.write(f"{elapsed:9.3f} {text}\n")
            self.m_file.flush()


class Machine:
    """One process of the daemon."""

    def __init__(self, fleet, name, zone):
        self.m_name = name
        self.m_fleet = fleet
        self.m_process = None
        ip = "127.0.0.1"
        ports = [standin.free_port() for _ in range(5)]
        self.m_front = f"{ip}:{ports[0]}"
        self.m_ready_address = f"{ip}:{ports[1]}"
        self.m_directory = f"{ip}:{ports[2]}"
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            template = file.read()
        fields = {
            "nodeName": name, "data_centre": zone, "region": REGION, "ip": ip,
            "internalPortRange": [ports[3], ports[3]],
            "listen": {"front": self.m_front, "ready": self.m_ready_address,
                       "directory": self.m_directory},
            "limits": {"linkMbps": 1000.0, "memoryMb": 260},
            "bounds": BOUNDS,
            "platform": {"address": fleet.m_store_address}}
        settings = os.path.join(fleet.m_folder, name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))
        self.m_command = [
            word.replace("/etc/nutmeghollow/settings.toml", settings)
            for word in role["run"].split(" ")]

    def start(self):
        log = open(os.path.join(self.m_fleet.m_folder, self.m_name + ".log"),
                   "ab")
        self.m_process = subprocess.Popen(
            self.m_command, cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LANG": "C.UTF-8"})
        log.close()

    def ready(self):
        return standin.call(self.m_ready_address, "/readyz", timeout=1)[0] == 200

    def signal(self, number):
        self.m_process.send_signal(number)

    def stop(self):
        if self.m_process is not None:
            self.m_process.send_signal(signal.SIGCONT)
            self.m_process.kill()
            self.m_process.wait()


class Fleet:
    """The machines of a small deployment before a store."""

    s_all = []

    def __init__(self, record, zones=ZONES, store_address=None):
        Fleet.s_all.append(self)
        self.m_record = record
        self.m_folder = tempfile.mkdtemp(prefix="review-")
        self.m_store = standin.Store()
        self.m_store_address = store_address or self.m_store.m_address
        self.m_machines = [Machine(self, f"front-{zone}-{number + 1}", zone)
                           for zone, count in zones for number in range(count)]

    def configure(self, routes, services, version=7, tenants=None):
        """Writes a manifest."""
        self.m_store.put("op", "config", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]
            if tenants is None else tenants})

    def start(self):
        for machine in self.m_machines:
            machine.start()
        end = time.monotonic() + READY_SECONDS
        while not all(machine.ready() for machine in self.m_machines):
            if time.monotonic() > end:
                raise RuntimeError("the fleet is not ready")
            time.sleep(0.1)
        # From here on the machines are in touch (RULES.md).
        time.sleep(BOUNDS["stableWindowMs"] / 1000 + 0.5)

    def stop(self):
        for machine in self.m_machines:
            machine.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.m_folder)
        else:
            shutil.rmtree(self.m_folder, ignore_errors=True)


class Server:
    """A sound server of one service: runs what is meant for it.

    The run of a request is answer(request, request_id), which sends the
    response itself and returns whether the connection may be kept.
    """

    def __init__(self, fleet, name, service, zone, slots, answer):
        self.m_fleet = fleet
        self.m_name = name
        self.m_answer = answer
        self.m_runs = []  # Requests that were run, in order.
        self.m_server = standin.serve(self._respond)
        self.m_registration = {
            "service": service, "address": standin.address_of(self.m_server),
            "data_centre": zone, "version": "v1", "slots": slots,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1700000000000}
        self.register()

    def register(self, **more):
        self.m_registration["sequence"] += 1
        self.m_registration.update(more)
        self.m_fleet.m_store.put("servers", self.m_name, self.m_registration)

    def _respond(self, request):
        if request.m_headers.get("expect-instance") != self.m_name:
            return standin.reply(421, {}, {"Instance-Id": self.m_name})
        request_id = request.m_headers.get("request-id")
        if request_id is None:
            return standin.reply(400, {}, {"Not-Executed": "1"})
        self.m_runs.append(request)
        tenant = request.m_headers.get("tenant")
        self.m_fleet.m_record.note(
            f"server {self.m_name} runs {request_id} {request.m_method} "
            f"{request.m_target}, {len(request.m_body)} bytes, "
            f"Tenant: {tenant}")
        try:
            kept = self.m_answer(request, request_id)
        except OSError as error:
            self.m_fleet.m_record.note(
                f"server {self.m_name}: {request_id} broken off: {error}")
            return None
        self.m_fleet.m_record.note(
            f"server {self.m_name} has answered {request_id} to its end")
        return b"", not kept


def head(request_id, **more):
    """Returns the head of a successful response up to its last fields."""
    fields = {"Request-Id": request_id, "Server-Seal": "seal." + request_id,
              **more}
    text = "".join(f"{name.replace('_', '-')}: {value}\r\n"
                   for name, value in fields.items())
    return f"HTTP/1.1 200 OK\r\n{text}\r\n".encode()


def stream_events(request, request_id, count, size, pause_seconds):
    """Sends an event stream in chunks to its end. Returns True."""
    send = request.m_connection.sendall
    send(head(request_id, Content_Type="text/event-stream",
              Transfer_Encoding="chunked"))
    for number in range(1, count + 1):
        event = f"id: {number}\ndata: ".encode() + b"x" * size + b"\n\n"
        send(b"%x\r\n" % len(event) + event + b"\r\n")
        time.sleep(pause_seconds)
    send(b"0\r\n\r\n")
    return True


class Channel:
    """A client's channel to one machine, which is kept between requests.

    With bytes_per_second the client's link is that slow.
    """

    def __init__(self, record, address, bytes_per_second=None):
        self.m_record = record
        self.m_rate = bytes_per_second
        self.m_socket = socket.socket()
        if bytes_per_second is not None:
            # The window and the packets of an ordinary link.
            self.m_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                     32768)
            self.m_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG,
                                     1460)
        host, _, port = address.partition(":")
        self.m_socket.settimeout(20)
        self.m_socket.connect((host, int(port)))
        self.m_data = b""
        self.m_received = 0  # Of the answer that is read.

    def send(self, path, request_id, body=b"{}", method="POST", key=KEY,
             deadline_ms=15000, **headers):
        fields = {"Host": HOST, "Request-Id": request_id,
                  "Request-Deadline": str(deadline_ms),
                  "Content-Length": str(len(body)),
                  **{name.replace("_", "-"): value
                     for name, value in headers.items()}}
        if key is not None:
            fields["Authorization"] = "Token " + key
        text = "".join(f"{name}: {value}\r\n"
                       for name, value in fields.items())
        self.m_record.note(f"client sends {request_id} {method} {path}, "
                           f"{len(body)} bytes")
        self.m_socket.sendall(
            f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body)

    def _receive(self):
        started = time.monotonic()
        try:
            more = self.m_socket.recv(16384)
        except OSError:
            more = b""
        if not more:
            raise EOFError
        if self.m_rate is not None:
            due = started + len(more) / self.m_rate - time.monotonic()
            time.sleep(max(0.0, due))
        self.m_data += more
        self.m_received += len(more)

    def _take(self, size):
        parts = []
        while size > len(self.m_data):
            size -= len(self.m_data)
            parts.append(self.m_data)
            self.m_data = b""
            self._receive()
        parts.append(self.m_data[:size])
        self.m_data = self.m_data[size:]
        return b"".join(parts)

    def _take_line(self):
        while b"\r\n" not in self.m_data:
            self._receive()
        line, _, self.m_data = self.m_data.partition(b"\r\n")
        return line

    def answer(self, request_id):
        """Reads one response.

        Returns the status, None when the channel ended before a status, and
        whether the response is complete.
        """
        status = None
        self.m_received = len(self.m_data)
        started = time.monotonic()
        try:
            status = int(self._take_line().split(b" ")[1])
            fields = {}
            while line := self._take_line():
                name, _, value = line.partition(b":")
                fields[name.decode().lower()] = value.strip().decode()
            if "chunked" in fields.get("transfer-encoding", ""):
                while size := int(self._take_line(), 16):
                    self._take(size + 2)
                self._take_line()
            else:
                self._take(int(fields.get("content-length", "0")))
            complete = True
        except EOFError:
            complete = False
        self.m_record.note(
            f"client gets {status} to {request_id}, {self.m_received} "
            f"bytes, {'complete' if complete else 'CUT'}, after "
            f"{time.monotonic() - started:.2f} s")
        return status, complete

    def close(self):
        self.m_socket.close()


def in_threads(functions):
    """Runs functions at the same time and returns their results."""
    results = [None] * len(functions)

    def run(index):
        results[index] = functions[index]()
    threads = [threading.Thread(target=run, args=(index,), daemon=True)
               for index in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def route(name, kind, service, **more):
    """Returns a route with the figures of sites/vuhf-pasroute.toml."""
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
            "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 1,
            "service": service, "maxAttempts": 1, "allowAnonymous": False,
            "sessionAffinity": False, "streamResume": False, "gapAimMs": 400,
            **more}


def run_case(case):
    """Runs case(record) and exits as the issue asks.

    The case returns whether the rule was kept.
    """
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)

    def end(code, text):
        record.note(text)
        print(text)
        sys.stdout.flush()
        for one in Fleet.s_all:
            one.stop()
        os._exit(code)

    watchdog = threading.Timer(CASE_SECONDS, end, [2, "took too long"])
    watchdog.daemon = True
    watchdog.start()
    record.note("with the disruption" if trouble()
                else "without the disruption (TROUBLE=0)")
    try:
        held = case(record)
    except Exception as error:  # The case could not run.
        end(2, f"could not run: {error!r}")
    end(0 if held else 1, "the rule held" if held else "the rule was broken")
