"""Starts real processes on loopback for the end-to-end cases.

A Fleet runs one platform, engines, services and instances, optionally with a
fault proxy in front of each of them. It stops only processes that it started.
"""

import argparse
import concurrent.futures
import ctypes
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time

OPERATOR = "harness"
OPERATOR_TOKEN = "operator-token-harness"
FLEET_KEY = "5a" * 32
FIRST_PORT = 12000
LAST_PORT = 31000  # Below the ephemeral port range.
LIST_LAG_MS = 1000  # Set once the first instances have started.
PR_SET_PDEATHSIG = 1
# Linux sends the parent death signal when the thread that created the process
# exits, so one thread creates all processes and lives until the harness exits.
SPAWN_EXECUTOR = concurrent.futures.ThreadPoolExecutor(1)


class CaseFailure(Exception):
    """Reports a failed check of a case."""


def check(condition, message):
    if not condition:
        raise CaseFailure(message)


def wait_until(condition, seconds, description, interval=0.05):
    """Polls condition() and returns its true value; fails after seconds."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        check(time.monotonic() < deadline,
              f"not within {seconds} s: {description}")
        time.sleep(interval)


def parse_arguments(extra=None):
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=0)
    if extra:
        extra(parser)
    return parser.parse_args()


def run_case(function, extra=None):
    """Runs a case, prints its result, and exits with 1 when it failed."""
    arguments = parse_arguments(extra)
    started = time.monotonic()
    try:
        function(arguments)
    except CaseFailure as failure:
        print(f"FAILED: {failure}", flush=True)
        sys.exit(1)
    print(f"passed in {time.monotonic() - started:.1f} s", flush=True)


class PortPicker:
    """Allocates TCP and UDP ports that are not in use."""

    def __init__(self):
        self.m_next = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)

    def pick(self, ip="127.0.0.1"):
        while True:
            self.m_next += 1
            if self.m_next >= LAST_PORT:
                self.m_next = FIRST_PORT
            if all(self._free(address, kind) for address in {ip, "127.0.0.1"}
                   for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                return f"{ip}:{self.m_next}"

    def _free(self, ip, kind):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, self.m_next))
            except OSError:
                return False
        return True


def http_call(address, method, path, body=None, headers=None, timeout=5):
    """Returns (status, headers, body text); (0, {}, error text) on failure."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace")
        return response.status, response.headers, text
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, str(error)
    finally:
        connection.close()


class Process:
    """A program that the harness runs."""

    def __init__(self, name, arguments, log_path):
        self.m_name = name
        self.m_arguments = arguments
        self.m_log_path = log_path
        self.m_popen = None

    def start(self):
        self.m_popen = SPAWN_EXECUTOR.submit(self._spawn).result()

    def _spawn(self):
        def set_parent_death_signal():
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)

        with open(self.m_log_path, "ab") as log:
            return subprocess.Popen(self.m_arguments, stdout=log, stderr=log,
                                    preexec_fn=set_parent_death_signal)

    def running(self):
        return self.m_popen is not None and self.m_popen.poll() is None

    def signal(self, number):
        if self.running():
            self.m_popen.send_signal(number)

    def kill(self):
        if self.running():
            self.m_popen.send_signal(signal.SIGCONT)
            self.m_popen.kill()
        if self.m_popen is not None:
            self.m_popen.wait()

    def wait(self, seconds):
        """Returns the exit code, or None if it still runs after seconds."""
        try:
            return self.m_popen.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


class Member:
    """A process of the fleet and its addresses."""

    def __init__(self, name, data_centre, region):
        self.m_name = name
        self.m_data_centre = data_centre
        self.m_region = region
        self.m_process = None
        self.m_address = ""             # Where it listens.
        self.m_advertised_address = ""  # Where others connect; may be a proxy.
        self.m_operator_address = ""
        self.m_peer_address = ""
        self.m_advertised_peer_address = ""
        self.m_ip = "127.0.0.1"
        self.m_listed = True


class Fleet:
    """A platform, engines, services, instances, and a fault proxy."""

    def __init__(self, build, name, instances=7, engines=4, services=0,
                 data_centres=(("dc-a", "region-1"), ("dc-b", "region-1"),
                               ("dc-c", "region-1")),
                 proxy=False, delay_us=0, settings="", engine_flags=(),
                 service_flags=(), policy="bounded", models=("model-a",),
                 instance_settings=""):
        self.m_build = os.path.abspath(build)
        self.m_folder = os.path.join(self.m_build, "testsuite", name)
        self.m_proxied = proxy
        self.m_delay_us = delay_us
        self.m_settings = settings
        self.m_instance_settings = instance_settings
        self.m_policy = policy
        self.m_models = models
        self.m_engine_flags = list(engine_flags)
        self.m_service_flags = list(service_flags)
        self.m_ports = PortPicker()
        self.m_loads = []
        shutil.rmtree(self.m_folder, ignore_errors=True)
        os.makedirs(self.m_folder)
        self.m_token_file = self._write("operator.token", OPERATOR_TOKEN)
        self.m_key_file = self._write("fleet.key", FLEET_KEY)

        def members(prefix, count):
            return [Member(f"{prefix}{i + 1}",
                           *data_centres[i % len(data_centres)])
                    for i in range(count)]

        self.m_platform = Member("platform", "", "")
        self.m_engines = members("e", engines)
        self.m_services = members("s", services)
        self.m_instances = members("n", instances)
        self.m_proxy = Member("proxy", "", "")
        for number, instance in enumerate(self.m_instances):
            instance.m_ip = f"127.0.0.{11 + number}"

    # Set-up.

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self):
        self._assign_addresses()
        if self.m_proxied:
            self._start(self.m_proxy, "fault_proxy")
            self._wait_http(self.m_proxy)
            self._add_links()
        self._start(self.m_platform, "standin_platform", "--list_lag_ms=0")
        for engine in self.m_engines:
            self.start_engine(engine)
        for service in self.m_services:
            self.start_service(service)
        for member in [self.m_platform, *self.m_engines, *self.m_services]:
            self._wait_http(member)
        self.publish_instances()
        for instance in self.m_instances:
            self.start_instance(instance)
        if self.m_instances:
            self.wait_operator(self.m_instances[0])
        self.control(self.m_platform, list_lag_ms=LIST_LAG_MS)

    def _assign_addresses(self):
        for member in [self.m_proxy, self.m_platform, *self.m_engines,
                       *self.m_services, *self.m_instances]:
            member.m_address = self.m_ports.pick(member.m_ip)
            member.m_advertised_address = member.m_address
        for instance in self.m_instances:
            instance.m_operator_address = self.m_ports.pick(instance.m_ip)
            instance.m_peer_address = self.m_ports.pick(instance.m_ip)
            instance.m_advertised_peer_address = instance.m_peer_address
        if not self.m_proxied:
            return
        for member in [self.m_platform, *self.m_engines, *self.m_services,
                       *self.m_instances]:
            member.m_advertised_address = self.m_ports.pick()
        for instance in self.m_instances:
            instance.m_advertised_peer_address = self.m_ports.pick()

    def _add_links(self):
        links = []
        for member in [self.m_platform, *self.m_engines, *self.m_services,
                       *self.m_instances]:
            links.append({"name": member.m_name,
                          "listen": member.m_advertised_address,
                          "target": member.m_address,
                          "delay_us": self.m_delay_us})
        for instance in self.m_instances:
            links.append({"name": "peer-" + instance.m_name,
                          "listen": instance.m_advertised_peer_address,
                          "target": instance.m_peer_address, "udp": True,
                          "delay_us": self.m_delay_us})
        self.post(self.m_proxy, "/links", {"links": links})

    def _write(self, name, text):
        path = os.path.join(self.m_folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def _start(self, member, program, *flags, listen=True):
        arguments = [os.path.join(self.m_build, "bin", program), *flags]
        if listen:
            arguments.append(f"--listen={member.m_address}")
        log = os.path.join(self.m_folder, member.m_name + ".log")
        member.m_process = Process(member.m_name, arguments, log)
        member.m_process.start()

    def _wait_http(self, member):
        wait_until(lambda: http_call(member.m_address, "GET",
                                     "/control/stats")[0] == 200,
                   10, f"{member.m_name} responds")

    def start_engine(self, engine):
        record = os.path.join(self.m_folder, engine.m_name + ".record")
        self._start(engine, "standin_engine", f"--record_file={record}",
                    *self.m_engine_flags)

    def start_service(self, service):
        ledger = os.path.join(self.m_folder, "service.ledger")
        self._start(service, "standin_service", f"--name={service.m_name}",
                    f"--ledger_file={ledger}", *self.m_service_flags)

    def start_instance(self, instance):
        settings = self._write(instance.m_name + ".toml",
                               self._settings_text(instance))
        self._start(instance, "nutmegd", f"--settings={settings}",
                    listen=False)

    def restart(self, member):
        """Starts a member again, and kills it first if it still runs."""
        member.m_process.kill()
        if member in self.m_engines:
            self.start_engine(member)
        elif member in self.m_services:
            self.start_service(member)
        else:
            self.start_instance(member)

    def _settings_text(self, instance):
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        return f"""[instance]
id = "{instance.m_name}"
data_centre = "{instance.m_data_centre}"
region = "{instance.m_region}"
caller_address = "{instance.m_address}"
operator_address = "{instance.m_operator_address}"
peer_address = "{instance.m_peer_address}"
advertised_caller_address = "{instance.m_advertised_address}"
advertised_peer_address = "{instance.m_advertised_peer_address}"
{self.m_instance_settings}

[fleet]
key_file = "{self.m_key_file}"

[platform]
address = "{self.m_platform.m_advertised_address}"

[operators]
{OPERATOR} = "{digest}"

[placement]
policy = "{self.m_policy}"
{self.m_settings}"""

    def stop(self):
        for load in self.m_loads:
            load.m_process.kill()
        for member in [*self.m_instances, *self.m_services, *self.m_engines,
                       self.m_platform, self.m_proxy]:
            if member.m_process is not None:
                member.m_process.kill()

    # Configuration and control.

    def publish_instances(self):
        """Writes the instances with m_listed to the platform's list."""
        rows = [{"id": i.m_name, "caller": i.m_advertised_address,
                 "peer": i.m_advertised_peer_address,
                 "data_centre": i.m_data_centre, "region": i.m_region,
                 "leaving": False} for i in self.m_instances if i.m_listed]
        self.post(self.m_platform, "/control", {"instances": rows})

    def post(self, member, path, body):
        status, _, text = http_call(member.m_address, "POST", path, body)
        check(status == 200, f"POST {path} at {member.m_name}: {text}")

    def control(self, member, **switches):
        self.post(member, "/control", switches)

    def proxy(self, links, **switches):
        self.post(self.m_proxy, "/control", {"links": links, **switches})

    def stats(self, member):
        status, _, text = http_call(member.m_address, "GET", "/control/stats")
        return json.loads(text) if status == 200 else {}

    def ctl(self, *words, at=None, output="json", timeout=20):
        """Runs nutmegctl; returns (exit code, parsed or plain output)."""
        instance = at or self.m_instances[0]
        command = [os.path.join(self.m_build, "bin", "nutmegctl"),
                   f"--address={instance.m_operator_address}",
                   f"--token_file={self.m_token_file}",
                   f"--output={output}", *words]
        done = subprocess.run(command, capture_output=True, text=True,
                              timeout=timeout, check=False)
        try:
            return done.returncode, json.loads(done.stdout)
        except json.JSONDecodeError:
            return done.returncode, done.stdout + done.stderr

    def ctl_checked(self, *words, at=None):
        code, output = self.ctl(*words, at=at)
        check(code == 0, f"nutmegctl {' '.join(words)}: exit {code}: {output}")
        return output

    def configure(self, customers=("customer-a",), route_fields=(),
                  customer_fields=None):
        """Creates the fleet's upstreams, routes, service and customers."""
        for engine in self.m_engines:
            self._set_upstream(engine, "engine")
        for service in self.m_services:
            self._set_upstream(service, "service")
        engines = json.dumps([e.m_name for e in self.m_engines])
        for model in self.m_models:
            self.ctl_checked("route", "set", model, f"upstreams={engines}",
                             *route_fields)
        if self.m_services:
            servers = json.dumps([s.m_name for s in self.m_services])
            self.ctl_checked("service", "set", "orders",
                             f"upstreams={servers}",
                             "status_path=/status/{key}")
        for customer in customers:
            digest = hashlib.sha256(f"token-{customer}".encode()).hexdigest()
            self.ctl_checked("customer", "set", customer,
                             f"token_digests={json.dumps([digest])}",
                             *(customer_fields or {}).get(customer, ()))

    def _set_upstream(self, member, kind):
        self.ctl_checked("upstream", "set", member.m_name, f"kind={kind}",
                         f"address={member.m_advertised_address}",
                         f"data_centre={member.m_data_centre}",
                         f"region={member.m_region}")

    def partition(self, first, second, blocked=True):
        """Blocks or unblocks UDP and TCP between two groups, both ways."""
        for targets, senders in ((first, second), (second, first)):
            self.proxy(["peer-" + target.m_name for target in targets],
                       sources=[sender.m_ip for sender in senders],
                       blocked=blocked)

    # Waiting and status.

    def ready(self, instance):
        return http_call(instance.m_address, "GET", "/readyz",
                         timeout=2)[0] == 200

    def wait_operator(self, instance):
        wait_until(lambda: self.ctl("revision", at=instance)[0] == 0, 20,
                   f"{instance.m_name} serves operators", interval=0.2)

    def wait_ready(self, seconds=20):
        for instance in self.m_instances:
            if instance.m_process.running():
                wait_until(lambda: self.ready(instance), seconds,
                           f"{instance.m_name} is ready")

    def all_instances_alive(self):
        """Returns whether each instance reports all instances as alive."""
        expected = {i.m_name for i in self.m_instances}
        for instance in self.m_instances:
            code, output = self.ctl("instances", at=instance)
            if code != 0 or expected != {
                    row["id"] for row in output["instances"]
                    if row["status"] == "alive"}:
                return False
        return True

    def metric(self, instance, name, label=""):
        """Returns the sum of an instance's series of a metric, or None.
        A label, such as a="b", selects the series that begin with it."""
        status, _, text = http_call(instance.m_address, "GET", "/metrics")
        lines = text.splitlines() if status == 200 else []
        prefixes = tuple(name + "{" + label + end for end in ("}", ","))
        if not label:
            prefixes = (name + " ", name + "{")
        values = [float(line.rsplit(" ", 1)[1]) for line in lines
                  if line.startswith(prefixes)]
        return sum(values) if values else None

    def revision(self, instance):
        return self.metric(instance, "nutmeg_configuration_revision")

    # Load.

    def entry_addresses(self):
        return [i.m_advertised_address for i in self.m_instances]

    def start_load(self, **flags):
        load = Load(self, len(self.m_loads), flags)
        self.m_loads.append(load)
        return load

    def records(self):
        """Returns the engines' records: one line per run and per order."""
        lines = []
        for engine in self.m_engines:
            path = os.path.join(self.m_folder, engine.m_name + ".record")
            for line in read_json_lines(path):
                lines.append({"engine": engine.m_name, **line})
        return lines

    def ledger(self):
        """Returns the lines of the service's ledger."""
        return read_json_lines(os.path.join(self.m_folder, "service.ledger"))

    def log_text(self, member):
        path = os.path.join(self.m_folder, member.m_name + ".log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()


def read_json_lines(path):
    lines = []
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            for line in file:
                try:
                    lines.append(json.loads(line))
                except json.JSONDecodeError:
                    pass  # The writer exited in the middle of a line.
    return lines


class Load:
    """A run of nutmegload."""

    def __init__(self, fleet, number, flags):
        name = f"load{number}"
        self.m_output = os.path.join(fleet.m_folder, name + ".json")
        self.m_trace = os.path.join(fleet.m_folder, name + ".trace")
        flags = {"output": self.m_output, "trace_file": self.m_trace, **flags}
        if "direct" not in flags:
            flags.setdefault("entries", ",".join(fleet.entry_addresses()))
        if fleet.m_services:
            flags.setdefault("services", "orders")
        flags.setdefault("models", ",".join(fleet.m_models))
        self.m_timeout = (float(flags.get("seconds", 10)) +
                          float(flags.get("finish_seconds", 30)) + 20)
        program = os.path.join(fleet.m_build, "bin", "nutmegload")
        arguments = [program, *(f"--{k}={v}" for k, v in flags.items())]
        self.m_process = Process(
            name, arguments, os.path.join(fleet.m_folder, name + ".log"))
        self.m_process.start()

    def wait(self):
        code = self.m_process.wait(self.m_timeout)
        check(code == 0, f"nutmegload exited with {code}")
        with open(self.m_output, encoding="utf-8") as file:
            return json.load(file)


def make_random(seed):
    print(f"seed {seed}", flush=True)
    return random.Random(seed)
