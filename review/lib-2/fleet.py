"""Starts instances as the deploy file says, on loopback addresses.

Used by the scripts of review/6 and later. The store and the servers are those
of platform/testing/standin.py, or subclasses of them.
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

import standin  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "a.example"

# The values of the example in DEPLOY.md.
BOUNDS = {
    "stableWindowMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "strictRevocation": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 54, "recoveryS": 12, "passMs": 120,
}
LIMITS = {"cpuShare": 0.25, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100,
          "linkMbps": 1000.0, "diskMb": 0}


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.m_file = open(path, "w", encoding="utf-8")
        self.m_start = time.monotonic()
        self.m_lock = threading.Lock()

    def __call__(self, *words):
        with self.m_lock:
            self.m_file.write("%9.3f " % (time.monotonic() - self.m_start) +
                              " ".join(str(word) for word in words) + "\n")
            self.m_file.flush()


def lookup(fields, path):
    value = fields
    for name in path.split("."):
        if isinstance(value, dict):
            value = value.get(name)
        elif isinstance(value, list) and name.isdigit():
            value = value[int(name)] if int(name) < len(value) else None
        else:
            return None
    return value


def render(template, fields, key=None):
    """The part of the template language that the deploy file uses."""
    def section(match):
        name, inner = match.group(1), match.group(2)
        value = lookup(fields, name)
        if isinstance(value, dict):
            return "".join(
                render(inner, {**fields, ".": item}, str(one))
                for one, item in value.items())
        return render(inner, fields, key) if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)

    def value(match):
        name, form = match.group(1), match.group(2)
        if name == "@":
            found = key
        elif name == ".":
            found = fields.get(".")
        else:
            found = lookup(fields, name)
        if form:
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", value, text)


class Instance:
    """One nutmegd process at a loopback address of its own."""

    def __init__(self, fleet, index, zone, store_address):
        self.m_fleet = fleet
        self.m_name = f"front-{zone}-{index}"
        self.m_ip = f"127.0.{fleet.m_net}.{index + 1}"
        ports = fleet.m_ports
        self.m_front = f"{self.m_ip}:{ports['front']}"
        self.m_ready = f"{self.m_ip}:{ports['ready']}"
        self.m_directory = f"{self.m_ip}:{ports['directory']}"
        self.m_settings = os.path.join(fleet.m_folder, self.m_name + ".toml")
        fields = {
            "nodeName": self.m_name, "data_centre": zone, "zone": zone,
            "region": "region-1", "ip": self.m_ip,
            "internalPortRange": [ports["inner"], ports["inner"] + 15],
            "zones": {name: "region-1" for name in fleet.m_zones},
            "listen": {"front": self.m_front, "ready": self.m_ready,
                       "directory": self.m_directory},
            "limits": fleet.m_limits, "bounds": fleet.m_bounds,
            "platform": {"address": store_address}}
        with open(os.path.join(ROOT, "deploy", "settings.toml.in"),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        with open(self.m_settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.m_log = open(os.path.join(fleet.m_folder, self.m_name + ".log"),
                          "ab")
        self.m_process = None
        self.start()

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["router"]["run"]
        command = [word.replace("/etc/nutmeghollow/settings.toml",
                                self.m_settings) for word in run.split()]
        self.m_process = subprocess.Popen(
            command, cwd=ROOT, stdout=self.m_log, stderr=subprocess.STDOUT)

    def ready(self):
        return standin.call(self.m_ready, "/readyz", timeout=1)[0] == 200

    def signal(self, number):
        self.m_process.send_signal(number)

    def memory(self):
        """Returns the memory in bytes without mapped files, 0 at its end."""
        try:
            with open(f"/proc/{self.m_process.pid}/status",
                      encoding="utf-8") as file:
                for line in file:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def log(self):
        with open(self.m_log.name, encoding="utf-8", errors="replace") as file:
            return file.read()

    def stop(self):
        if self.m_process.poll() is None:
            self.m_process.send_signal(signal.SIGCONT)
            self.m_process.kill()
        self.m_process.wait()


class Fleet:
    """Instances with the settings of a small deployment."""

    def __init__(self, count, store_address, zones=("zone-a",), limits=None,
                 bounds=None, store_addresses=None):
        self.m_folder = tempfile.mkdtemp(prefix="review-")
        self.m_net = 10 + os.getpid() % 200
        self.m_zones = list(zones)
        self.m_limits = {**LIMITS, **(limits or {})}
        self.m_bounds = {**BOUNDS, **(bounds or {})}
        self.m_ports = self._free_ports(count)
        self.m_instances = []
        for index in range(count):
            address = (store_addresses[index] if store_addresses
                       else store_address)
            self.m_instances.append(
                Instance(self, index, self.m_zones[index % len(zones)],
                         address))

    def _free_ports(self, count):
        ports = {}
        for name in ("front", "ready", "directory", "inner"):
            while name not in ports:
                port = standin.free_port()
                try:
                    for index in range(count):
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((f"127.0.{self.m_net}.{index + 1}",
                                            port))
                except OSError:
                    continue
                ports[name] = port
        return ports

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while not all(one.ready() for one in self.m_instances):
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
        return True

    def stop(self):
        for instance in self.m_instances:
            instance.stop()

    def remove_folder(self):
        shutil.rmtree(self.m_folder, ignore_errors=True)


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
            "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 0,
            "service": service, "maxAttempts": 2, "allowAnonymous": False,
            "sessionAffinity": False, "streamResume": False, "gapAimMs": 400,
            **more}


def manifest(version, routes, tenants=None, services=None):
    return {
        "version": version, "routes": routes,
        "services": services or [
            {"name": "plain", "healthPath": "/health", "maxConnections": 100},
            {"name": "engines", "healthPath": "/health",
             "maxConnections": 360, "engine": {"slots": 64,
                                               "kvCapacityTokens": 600000}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
        "tenants": tenants or [{"name": "tenant-1", "apiKeys": ["key-1"]}]}


def head(method, path, request_id, deadline_ms, key="key-1", **more):
    """Returns the head of a request without a body as bytes."""
    fields = {"Host": HOST, "Request-Id": request_id,
              "Request-Deadline": str(deadline_ms), **more}
    if key:
        fields["Authorization"] = "Token " + key
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


def connect(address, timeout=10, receive_buffer=None, segment=None):
    """Opens a channel. A segment as on Ethernet keeps the send buffer of the
    other end small; on loopback addresses it would take some megabytes."""
    host, _, port = address.partition(":")
    channel = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    if receive_buffer:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                           receive_buffer)
    if segment:
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment)
    channel.settimeout(timeout)
    channel.connect((host, int(port)))
    return channel


def read_head(channel):
    """Reads a response head. Returns status, fields and the bytes after it.

    The status is None when the channel ended before.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        try:
            more = channel.recv(4096)
        except OSError:
            return None, {}, data
        if not more:
            return None, {}, data
        data += more
    text, _, rest = data.partition(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return int(lines[0].split()[1]), fields, rest


def read_response(channel):
    """Reads a response with a length. Returns status, fields and body."""
    status, fields, body = read_head(channel)
    if status is None:
        return None, fields, body
    length = int(fields.get("content-length", 0))
    while len(body) < length:
        try:
            more = channel.recv(65536)
        except OSError:
            return None, fields, body
        if not more:
            return None, fields, body
        body += more
    return status, fields, body


def main(run, record_path):
    """Runs a case, writes its record and exits with its result."""
    record = Record(record_path)
    record("trouble", TROUBLE)
    try:
        result = run(record)
    except Exception as error:  # The case could not run.
        record("could not run:", repr(error))
        raise SystemExit(NOT_RUN)
    record("result", {HELD: "the rule held", BROKEN: "the rule was broken",
                      NOT_RUN: "not run"}[result])
    raise SystemExit(result)
