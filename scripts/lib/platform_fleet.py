"""A small fleet on the platform's interface: a store, instances and nodes on loopback."""

import base64
import http.client
import json
import struct
import subprocess
import threading
import time
import urllib.parse
from collections import Counter, defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "box.example"
STORE_PORT, CALLER_PORT, READY_PORT, CONTROL_PORT = range(4)
INNER_PORT, METRICS_PORT, FIRST_INSTANCE_PORT = 4, 6, 10
PORTS = 20
WORK_S = 0.01


class Store:
    """Keyed topics that keep every record; an empty value removes its key.
    The first record of a topic has the offset `base`."""

    def __init__(self, base):
        self.base = base
        self.changed = threading.Condition()
        self.topics = defaultdict(list)

    def put(self, topic, key, value):
        with self.changed:
            self.topics[topic].append((key, value))
            self.changed.notify_all()

    def newest(self, topic):
        with self.changed:
            values = dict(self.topics[topic])
            return ({key: value for key, value in values.items() if value},
                    self.base + len(self.topics[topic]))

    def read(self, topic, first, wait_s):
        """Returns the records from offset `first` on; waits for one."""
        first -= self.base
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics[topic]) > first,
                                  wait_s)
            return (self.topics[topic][first:],
                    self.base + len(self.topics[topic]))


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        """A peer that closes its connection is no error here."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Keeps the access log off the terminal."""

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def store_handler(store):
    class StoreHandler(Handler):
        def do_GET(self):
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            if url.path == "/-/log-newest":
                values, end = store.newest(query["topic"])
                items = [{"key": key,
                          "value": base64.b64encode(value).decode()}
                         for key, value in sorted(values.items())]
                self.reply(200, json.dumps(
                    {"items": items, "has_more": False, "changes_only": False,
                     "end_offset": end}).encode())
                return
            records, end = store.read(query["topic"], int(query["from"]),
                                      int(query.get("wait_ms", 0)) / 1000)
            page = struct.pack(">QQ", end, store.base)
            for key, value in records:
                record = bytes([len(key)]) + key.encode() + value
                page += struct.pack(">I", len(record)) + record
            self.reply(200, page)

        def do_POST(self):
            query = dict(urllib.parse.parse_qsl(
                urllib.parse.urlsplit(self.path).query))
            records = self.body()
            while records:
                length = struct.unpack(">I", records[:4])[0]
                record, records = records[4:4 + length], records[4 + length:]
                end = 1 + record[0]
                store.put(query["topic"], record[1:end].decode(), record[end:])
            self.reply(200, b"{}")
    return StoreHandler


def instance_handler(name, fleet):
    class InstanceHandler(Handler):
        def do_GET(self):
            self.serve()

        def do_POST(self):
            self.serve()

        def serve(self):
            self.body()
            request = self.headers["X-Request-Id"]
            headers = [("X-Request-Id", request)]
            if self.headers.get("X-Expect-Instance", name) != name:
                self.reply(421, b"", headers + [("X-Not-Executed", "1")])
                return
            with fleet.lock:
                fleet.runs[request] += 1
                fleet.last_run[name] = time.monotonic()
            time.sleep(WORK_S)
            headers.append(("X-Response-Seal", "1"))
            if name in fleet.failing:
                self.reply(500, b"failed", headers)
            else:
                self.reply(200, request.encode(), headers)
    return InstanceHandler


class PlatformFleet:
    """Nodes `edge-N` at 127.0.0.(11+N), all on the same ports."""

    def __init__(self, directory, first_port, instances, first_offset=0):
        self.directory = directory
        self.first_port = first_port
        self.store = Store(first_offset)
        self.lock = threading.Lock()
        self.runs = Counter()
        self.last_run = {}  # instance: when its last request arrived
        self.failing = set()
        self.answers = defaultdict(Counter)
        self.processes = {}
        self.sequence = 0
        self.callers = 0
        self._serve(STORE_PORT, store_handler(self.store))
        self.port_of = {}
        for number in range(instances):
            name = f"i-{number}"
            self.port_of[name] = first_port + FIRST_INSTANCE_PORT + number
            self._serve(FIRST_INSTANCE_PORT + number,
                        instance_handler(name, self))
            self.put_instance(name)

    def _serve(self, offset, handler):
        server = QuietServer(("127.0.0.1", self.first_port + offset), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def put_instance(self, name, state="ready"):
        self.sequence += 1
        self.store.put("keyed.servers", name, json.dumps(
            {"service": "s", "address": f"127.0.0.1:{self.port_of[name]}",
             "zone": "z", "slots": 4, "state": state, "seq": self.sequence,
             "born": 1}).encode())

    def put_config(self, version):
        routes = [{"name": kind, "host": HOST, "path_prefix": f"/{kind}/",
                   "kind": kind, "service": "s", "timeout_s": 1.0,
                   "target_latency_s": 0.3, "max_attempts": 3}
                  for kind in ("safe", "unsafe")]
        self.store.put("keyed.op", "config", json.dumps(
            {"version": f"r{version}", "routes": routes,
             "services": [{"name": "s"}]}).encode())

    def start(self, number, daemon):
        """Starts node `number` from the program `daemon`."""
        name, address = f"edge-{number}", self.address(number)
        port = self.first_port
        settings = self.directory / f"{name}.settings"
        settings.write_text(
            f"node={name}\nzone=z\ncallers={address}:{port + CALLER_PORT}\n"
            f"ready={address}:{port + READY_PORT}\n"
            f"store=127.0.0.1:{port + STORE_PORT}\n"
            f"control={address}:{port + CONTROL_PORT}\n"
            f"seeds={self.address(0)}:{port + CONTROL_PORT}\n"
            f"inner-ports={port + INNER_PORT},{port + INNER_PORT + 1}\n"
            "bounds=grace_s=6,retry_budget_ratio=0.2,retry_window_s=10\n"
            f"metrics-port={port + METRICS_PORT}\nfleet-key=upgrade-test\n")
        with open(self.directory / f"{name}.log", "ab") as output:
            self.processes[number] = subprocess.Popen(
                [str(daemon)], env={"PERIDOTARCH_BOOT": str(settings)},
                stdout=output, stderr=subprocess.STDOUT)

    @staticmethod
    def address(number):
        return f"127.0.0.{11 + number}"

    def stop(self, number):
        """Asks a node to end; returns its exit code."""
        process = self.processes.pop(number)
        process.terminate()
        try:
            return process.wait(20)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def get(self, number, offset, path):
        """Returns (status, body) of a request to a node, (0, "") if none."""
        connection = http.client.HTTPConnection(
            self.address(number), self.first_port + offset, timeout=2)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()

    def wait_ready(self, number, timeout_s=10):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.get(number, READY_PORT, "/ready")[0] == 200:
                return True
            time.sleep(0.05)
        return False

    def call(self, number, until):
        """Sends requests to a node one after the other until that time."""
        connection = None
        with self.lock:
            self.callers += 1
            caller = self.callers
        for count in range(10**9):
            if time.monotonic() >= until:
                break
            kind = "unsafe" if count % 3 == 0 else "safe"
            request = f"{number}-{caller}-{count}-{kind}"
            try:
                connection = connection or http.client.HTTPConnection(
                    self.address(number), self.first_port + CALLER_PORT,
                    timeout=3)
                connection.request(
                    "POST" if kind == "unsafe" else "GET", f"/{kind}/{count}",
                    headers={"Host": HOST, "X-Request-Id": request,
                             "X-Deadline-Ms": "900"})
                answer = connection.getresponse()
                text = answer.read().decode()
                whole = answer.status != 200 or text == request
                self.answers[number][
                    answer.status if whole else "wrong answer"] += 1
                if answer.getheader("Connection") == "close":
                    connection = None
            except (OSError, http.client.HTTPException) as failure:
                self.answers[number][type(failure).__name__] += 1
                connection = None
                time.sleep(0.05)
            time.sleep(0.005)

    def events(self, number):
        """Returns the JSON lines that a node has logged."""
        text = (self.directory / f"edge-{number}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    def version_in_force(self, number):
        """Returns the version that a node has in force by its log, or None. Each
        attempt names it, since under load single lines are left out."""
        version = None
        for line in self.events(number):
            if line["event"] == "config_in_force":
                version = line["version"]
            elif line["event"] == "attempt":
                version = line["config"]
        return version

    def repeated_unsafe(self):
        """Returns the unsafe requests that ran more than once."""
        return [request for request, runs in self.runs.items()
                if runs > 1 and request.endswith("-unsafe")]
