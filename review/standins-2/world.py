"""Small stand-ins for the platform of the second review: store, workers, clients, processes.

Only the standard library is used. Everything listens on 127.0.0.1 and on free ports. The stand-ins
follow PROTOCOL.md; each case adds the disruption that its claim.txt names.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}

_used_ports = set()


def free_port():
    """Return a port that is free for TCP and UDP, and was not returned before."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            if port in _used_ports:
                continue
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((HOST, port))
                except OSError:
                    continue
        _used_ports.add(port)
        return port


class Record:
    """Writes record.txt: what was sent, answered and run, one JSON object a line."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now(self):
        """Seconds since the start of the record."""
        return time.monotonic() - self._start_s

    def add(self, event, **fields):
        """Write one line."""
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


async def read_request(reader):
    """Read one HTTP request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def response(status, headers, body):
    """Encode a complete answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Accepts connections and serves one request after another on each."""

    def __init__(self):
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    def stop_listening(self):
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if not await self.handle(request, writer):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Serve one request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store: objects by kind and name, one revision, watches."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 100
        self._changed = asyncio.Event()
        self._silent = set()
        self.era = 1
        self.calls = []
        self.watch_began = {}

    def put(self, kind, name, spec):
        """Write an object as the operator or a worker does; the return acknowledges it."""
        self._revision += 1
        old = self._objects.setdefault(kind, {}).get(name)
        created = self._revision if old is None else old["metadata"]["created"]
        item = {"metadata": {"name": name, "revision": self._revision, "created": created,
                             "finalizers": [], "deletion": False}, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        """Remove an object; the return acknowledges it."""
        item = self._objects.get(kind, {}).pop(name)
        self._revision += 1
        self._note(kind, item, True)

    def silence_open_connections(self):
        """All connections that are open now carry nothing any more; new ones work."""
        self._silent |= self._writers
        self._wake()

    def _note(self, kind, item, deleted):
        self._events.append((kind, self._revision, item, deleted))
        self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request, writer):
        method, target, _, body = request
        path, _, query = target.partition("?")
        options = dict(urllib.parse.parse_qsl(query))
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        if writer in self._silent:
            await asyncio.sleep(3600)
        if "watch" in options:
            self.watch_began[kind] = self._record.now()
        if method == "GET":
            status, answer = await self._read(kind, name, options, writer)
        else:
            status, answer = self._write(method, kind, name, options, body)
        if writer in self._silent:
            await asyncio.sleep(3600)
        self.calls.append((self._record.now(), method, target, status))
        headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
        writer.write(response(status, headers, json.dumps(answer).encode()))
        await writer.drain()
        return True

    async def _read(self, kind, name, options, writer):
        objects = self._objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, None)
        if "watch" in options:
            after, until_s = int(options["watch"]), time.monotonic() + int(options["wait_ms"]) / 1e3
            while True:
                if after > self._revision:
                    return 410, None
                events = [{"deleted": deleted, "object": item}
                          for item_kind, revision, item, deleted in self._events
                          if item_kind == kind and revision > after]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0 or writer in self._silent:
                    return 200, {"events": events, "at": self._revision}
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass
        names = sorted(item for item in objects if item > options.get("after", ""))
        page = [objects[item] for item in names[:500]]
        return 200, {"items": page, "has_more": len(names) > 500, "at": self._revision}

    def _write(self, method, kind, name, options, body):
        objects = self._objects.setdefault(kind, {})
        if method == "DELETE":
            found = objects.get(name)
            if found is None:
                return 404, None
            if "revision" in options and int(options["revision"]) != found["metadata"]["revision"]:
                return 409, found
            self.remove(kind, name)
            return 200, found
        document = json.loads(body)
        name = name or document["metadata"]["name"]
        found = objects.get(name)
        if method == "POST" and found is not None:
            return 409, found
        if method == "PUT":
            if found is None:
                return 404, None
            wanted = document["metadata"].get("revision")
            if wanted is not None and wanted != found["metadata"]["revision"]:
                return 409, found
        return 200, self.put(kind, name, document["spec"])


class Worker(Server):
    """A worker of a plain service: runs `slots` requests at once and queues a few more."""

    def __init__(self, name, service, record, work_s=0.03, slots=6, queue=24):
        super().__init__()
        self.name = name
        self.service = service
        self._record = record
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._slots_count = slots
        self._most = slots + queue
        self._born_ms = int(time.time() * 1000)
        self._present = 0
        self.leaving = False
        self.arrived = []

    def entry(self, state="ready"):
        """What the worker says of itself in the store."""
        return {"service": self.service, "address": self.address, "zone": "z-a", "version": "v1",
                "slots": self._slots_count, "state": state, "cold_left_ms": 0, "seq": 0,
                "born": self._born_ms}

    async def handle(self, request, writer):
        method, target, headers, body = request
        attempt = headers.get("attempt-id", "")
        self.arrived.append((self._record.now(), attempt))
        self._record.add("reaches worker", worker=self.name, attempt=attempt)
        load = ("Server-Load", f"{min(self._present, self._slots_count)},"
                f"{max(0, self._present - self._slots_count)},{self._slots_count}")
        leaving = [("Server-Leaving", 1)] if self.leaving else []
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(response(421, [("Instance-Id", self.name), *leaving], b""))
            await writer.drain()
            return True
        if self._present >= self._most:
            writer.write(response(503, [("Attempt-Id", attempt), ("Not-Executed", 1), load,
                                                *leaving], b""))
            await writer.drain()
            return True
        self._present += 1
        try:
            async with self._slots:
                self._record.add("worker runs", worker=self.name, attempt=attempt)
                await asyncio.sleep(self._work_s)
        finally:
            self._present -= 1
        answer = f"{self.name} ran {method} {target} {len(body)}\n".encode()
        signed = ("Response-Signature", f"{self.name}.{len(answer)}")
        self._record.add("worker answers", worker=self.name, attempt=attempt)
        # It may have begun to leave while the request ran.
        leaving = [("Server-Leaving", 1)] if self.leaving else []
        writer.write(response(200, [("Attempt-Id", attempt), signed, load, *leaving], answer))
        await writer.drain()
        return True


class Answer:
    """What a client got: status 0 means that the connection closed without an answer."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete


async def read_answer(reader):
    """Read one answer to its end."""
    status, headers, body = 0, {}, b""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = (await reader.readexactly(size + 2))[:-2]
                if not size:
                    return Answer(status, headers, body, True)
                body += data
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(status, headers, body, False)


def attempt_id():
    """A new id for an attempt of a client."""
    return f"{random.getrandbits(64):016x}"


async def ask(address, method, target, headers, body=b"", timeout_s=10.0):
    """Send one request on a connection of its own and read its answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(0, {}, b"", False)
    try:
        lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        return await asyncio.wait_for(read_answer(reader), timeout_s)
    except (asyncio.TimeoutError, ConnectionError):
        return Answer(0, {}, b"", False)
    finally:
        writer.close()


class Process:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, role, settings, folder, name):
        path = os.path.join(folder, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log_path = os.path.join(folder, f"{name}.log")
        self._log = open(self.log_path, "wb")
        self._process = subprocess.Popen(
            ["python3", "-m", "bronzerudder", role, path],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self._log,
            stderr=subprocess.STDOUT)

    @property
    def running(self):
        """Whether the process runs."""
        return self._process.poll() is None

    def send(self, number):
        """Send a signal to it."""
        self._process.send_signal(number)

    def end(self):
        """End it."""
        if self.running:
            self._process.kill()
        self._process.wait()
        self._log.close()

    def lines(self):
        """The lines that it has logged."""
        found = []
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    found.append({"event": "text", "text": line.rstrip()})
        return found


class Gateway(Process):
    """A gateway with the settings of a small deployment."""

    def __init__(self, name, store_address, folder):
        self.address = f"{HOST}:{free_port()}"
        self.ready_address = f"{HOST}:{free_port()}"
        settings = {
            "gateway_id": name, "failure_domain": "z-a", "caller_address": self.address,
            "ready_address": self.ready_address, "metrics_address": f"{HOST}:{free_port()}",
            "peer_address": f"{HOST}:{free_port()}", "store_address": store_address, "grace_s": 8,
            "retry_budget": {"share": 0.2, "extra": 90, "window_s": 10}}
        super().__init__("gateway", settings, folder, name)

    async def wait_until_ready(self, timeout_s=20.0):
        """Return whether it says in time that it is ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s and self.running:
            answer = await ask(self.ready_address, "GET", "/-/readyz", [("Host", "x")], timeout_s=1)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.05)
        return False


KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
DOMAIN = "ficu95.example"


def configuration(routes, services, version=7):
    """A configuration with one tenant."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 100,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


def route(name, prefix, kind, service, timeout_ms=2500, **more):
    """A route to one service."""
    return {"name": name, "host": DOMAIN, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1, "service": service,
            "max_attempts": 1, "public": False, **more}


def request_headers(attempt, deadline_ms):
    """The headers that a client sends."""
    return [("Host", DOMAIN), ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms),
            ("X-Api-Key", KEY)]


def run_case(folder, case):
    """Run a case and exit: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    processes = []
    status = 2
    with tempfile.TemporaryDirectory() as scratch:
        try:
            status = asyncio.run(asyncio.wait_for(case(record, trouble, scratch, processes), 110))
        except Exception as error:
            record.add("could not run", error=repr(error))
            print(f"could not run: {error!r}")
        finally:
            for process in processes:
                process.end()
            record.close()
    sys.exit(status)
