"""Stand-ins of the platform for the scripts of this review: store, engines, callers, daemons.

Only the standard library is used. All addresses are loopback addresses with free ports.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", ".."))
DAEMON = os.path.join(ROOT, "target", "release", "celeryknotd")
HOST = "desk.example"
KEY = "key-of-otaru"
HEARTBEAT_S = 1.2
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S

START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


_ports = random.Random(os.getpid())
_ports_taken = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections.

    Scripts that run at the same time take theirs from different ranges, most likely.
    """
    while True:
        port = 12000 + os.getpid() % 40 * 500 + _ports.randrange(500)
        if port in _ports_taken:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _ports_taken.add(port)
        return port


def read_head(reader):
    """Returns the first line and the header fields (lower-case names) of a message, or None."""
    line = reader.readline(65536)
    while line in (b"\r\n", b"\n"):
        line = reader.readline(65536)
    if not line.endswith(b"\n"):
        return None
    first = line.decode("latin-1").strip()
    fields = {}
    while True:
        line = reader.readline(65536)
        if not line.endswith(b"\n"):
            return None
        if line in (b"\r\n", b"\n"):
            return first, fields
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def read_body(reader, fields):
    """Returns the body of a message with a length or chunks; None if it is cut off."""
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            line = reader.readline(1024)
            if not line.endswith(b"\n"):
                return None
            size = int(line.split(b";")[0].strip(), 16)
            if size == 0:
                reader.readline(1024)
                return body
            data = reader.read(size + 2)
            if len(data) < size + 2:
                return None
            body += data[:-2]
    length = int(fields.get("content-length", 0))
    body = reader.read(length)
    return body if len(body) == length else None


def reset(sock):
    """Closes a connection with a reset, as the end of a process with unread data does."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


class Store:
    """The platform's metadata store: listings and watches; `mode` is `up` or `silent`."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.mode = "up"
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", free_port()), backlog=128)
        self.port = self.listener.getsockname()[1]
        # A second address of the same store, for a machine that can be partitioned from it.
        self.second_listener = socket.create_server(("127.0.0.1", free_port()), backlog=128)
        self.second_port = self.second_listener.getsockname()[1]
        self.is_second_cut = False
        for listener in (self.listener, self.second_listener):
            threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            sock, _ = listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            is_second = listener is self.second_listener
            threading.Thread(target=self.serve, args=(sock, is_second), daemon=True).start()

    def set_second_cut(self, is_cut):
        """Partitions the machine at the second address from the store, or ends that."""
        with self.changed:
            self.is_second_cut = is_cut
            self.changed.notify_all()

    def set_mode(self, mode):
        with self.changed:
            self.mode = mode
            self.changed.notify_all()
        self.record.write(f"store is {mode}")

    def put(self, key, value):
        """Writes an item; waits while the store doesn't answer."""
        with self.changed:
            while self.mode != "up":
                self.changed.wait()
            self.revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision,
                "created": self.revision,
                "lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            while self.mode != "up":
                self.changed.wait()
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def serve(self, sock, is_second):
        reader = sock.makefile("rb")
        try:
            while True:
                head = read_head(reader)
                if head is None:
                    return
                target = head[0].split(" ")[1]
                path, _, query = target.partition("?")
                values = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
                status, body = self.answer(path, values, is_second)
                text = json.dumps(body).encode()
                sock.sendall(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text
                )
        except OSError:
            pass
        finally:
            sock.close()

    def is_silent(self, is_second):
        return self.mode != "up" or is_second and self.is_second_cut

    def answer(self, path, values, is_second):
        with self.changed:
            if self.is_silent(is_second):
                # A channel on which an answer is lost returns nothing further.
                while True:
                    self.changed.wait()
            if path == "/-/kv-range":
                after = values.get("after", "").replace("%2F", "/")
                items = [self.items[key] for key in sorted(self.items) if key > after]
                return 200, {"items": items[:500], "hasMore": len(items) > 500, "at": self.revision}
            if path != "/-/kv-watch":
                return 404, {}
            after = int(values["after"])
            deadline = time.monotonic() + int(values.get("waitMs", 0)) / 1000
            while True:
                if self.is_silent(is_second):
                    while True:
                        self.changed.wait()
                events = [event for event in self.events if event["revision"] > after]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)


class Engine:
    """An engine or a plain service; it registers in the store and answers requests."""

    def __init__(self, record, store, name, service, zone, version="v1", slots=64, **options):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.version, self.slots = version, slots
        self.event_gap_s = options.get("event_gap_s", 0.15)
        self.head_s = options.get("head_s", 0.0)
        self.work_s = options.get("work_s", 0.06)
        self.crash_path = options.get("crash_path")
        self.crash_down_s = options.get("crash_down_s", 2.0)
        self.lock = threading.Lock()
        self.socks = set()
        self.running = 0
        self.boot = 0
        self.arrivals = []
        self.is_up = False
        self.address = ("127.0.0.1", free_port())
        self.state = "ready"
        self.start()

    def start(self):
        self.boot += 1
        self.is_up = True
        boot = self.boot
        self.born = int(time.time() * 1000)
        self.listener = socket.create_server(self.address, backlog=256)
        # Connections are taken only once the engine has tried to register.
        registered = threading.Event()
        threading.Thread(target=self.register, args=(boot, registered), daemon=True).start()
        registered.wait(0.05)
        threading.Thread(target=self.accept, args=(boot, self.listener), daemon=True).start()

    def register(self, boot, registered):
        self.store.put("servers/" + self.name, self.entry())
        registered.set()
        self.record.write(f"engine {self.name} registered: version {self.version}, boot {boot}")

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state,
            "coldRemainingMs": 0, "sequence": 1 if self.state == "ready" else 2,
            "born": self.born,
        }

    def restart_in_place(self, drain_s=2.0, down_s=0.5, version=None):
        """Leaves as the pages say, ends, and starts again under its id."""
        self.state = "draining"
        self.store.put("servers/" + self.name, self.entry())
        self.record.write(f"engine {self.name} is draining: confirmed by the store")
        time.sleep(drain_s + 0.3)
        self.store.delete("servers/" + self.name)
        self.state = "ready"
        self.crash(down_s, version)
        while not self.is_up:
            time.sleep(0.05)
        time.sleep(0.5)

    def accept(self, boot, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if boot != self.boot or not self.is_up:
                reset(sock)
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.socks.add(sock)
            threading.Thread(target=self.serve, args=(sock, boot), daemon=True).start()

    def crash(self, down_s, version=None):
        """Ends the engine's process; it starts again under its id after a time."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
            socks, self.socks = self.socks, set()
            self.running = 0
        self.record.write(f"engine {self.name} ends")
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        for sock in socks:
            reset(sock)

        def restart():
            time.sleep(down_s)
            self.version = version or self.version
            self.start()
            self.record.write(f"engine {self.name} is back: version {self.version}")

        threading.Thread(target=restart, daemon=True).start()

    def serve(self, sock, boot):
        reader = sock.makefile("rb")
        try:
            while True:
                head = read_head(reader)
                if head is None:
                    return
                first, fields = head
                body = read_body(reader, fields)
                if body is None or boot != self.boot or not self.is_up:
                    return
                self.answer(sock, boot, first, fields)
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.socks.discard(sock)
            sock.close()

    def answer(self, sock, boot, first, fields):
        method, path, _ = first.split(" ", 2)
        attempt = fields.get("attempt-id", "")
        if fields.get("expect-instance", self.name) != self.name:
            text = f"HTTP/1.1 421 X\r\nNot-Executed: 1\r\nAttempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            sock.sendall(text.encode())
            return
        with self.lock:
            self.running += 1
            self.arrivals.append((now(), attempt, path, self.version))
        self.record.write(f"engine {self.name} ({self.version}) runs {method} {path} {attempt}")
        try:
            if self.crash_path == path:
                time.sleep(0.04)
                self.crash(self.crash_down_s)
                raise OSError("crashed")
            self.run(sock, boot, attempt, fields)
        finally:
            with self.lock:
                self.running = max(0, self.running - 1)

    def common(self, attempt):
        leaving = "Server-Leaving: 1\r\n" if self.state == "draining" else ""
        return (
            f"{leaving}Attempt-Id: {attempt}\r\nInstance-Signature: {self.name}.{boot_tag(self)}\r\n"
            f"Instance-Load: {self.running},0,{self.slots}\r\nKeep-Alive: timeout=5\r\n"
        )

    def run(self, sock, boot, attempt, fields):
        if self.service != "llm":
            time.sleep(self.work_s)
            body = f"done {attempt}".encode()
            head = f"HTTP/1.1 200 OK\r\n{self.common(attempt)}Content-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)
            return
        # An event holds four tokens.
        events = max(1, int(fields.get("token-count", "0,240").split(",")[1]) // 4)
        done = int(fields.get("last-event-id", 0) or 0)
        time.sleep(self.head_s)
        head = (
            f"HTTP/1.1 200 OK\r\n{self.common(attempt)}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        sock.sendall(head.encode())
        for number in range(done + 1, events + 1):
            time.sleep(self.event_gap_s)
            if boot != self.boot or not self.is_up:
                raise OSError("crashed")
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            sock.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
        sock.sendall(b"0\r\n\r\n")


def boot_tag(engine):
    return f"{engine.boot:02d}"


def configuration(version):
    def route(name, kind, service, attempts, timeout_ms, aim_ms):
        return {
            "name": name, "host": HOST, "prefix": f"/{name}/", "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": aim_ms, "priority": 1,
            "service": service, "maxAttempts": attempts, "anonymous": False,
            "sticky": kind == "streaming", "resumable": kind == "streaming", "gapAimMs": 300,
        }

    return {
        "version": version,
        "routes": [
            route("read", "safe", "desk", 2, 1500, 300),
            route("book", "unsafe", "desk", 2, 1500, 300),
            route("chat", "streaming", "llm", 2, 15000, 400),
            route("draft", "streaming", "llm", 2, 3000, 500),
        ],
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 100, "coldStartS": 0.0},
            {
                "name": "llm", "healthPath": "/healthz", "maxConnections": 360, "coldStartS": 0.0,
                "engine": {
                    "slots": 64, "kvCapacity": 342415, "kvBytes": 163840,
                    "linkMbps": 550000.0, "moves": True,
                },
            },
        ],
        "tenants": [{"name": "otaru", "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
            "headerTimeoutMs": 2000, "idleTimeoutMs": 10000,
        },
    }


class Daemon:
    """One router process with the settings of the deploy file's template."""

    def __init__(self, record, folder, name, zone, store_port, seeds):
        self.record, self.name = record, name
        self.callers, self.readiness, self.peers = free_port(), free_port(), free_port()
        self.hop, self.metrics = free_port(), free_port()
        self.path = os.path.join(folder, name + ".ini")
        self.log = os.path.join(folder, name + ".log")
        self.zone, self.store_port, self.seeds = zone, store_port, seeds
        self.process = None

    def write_settings(self):
        seeds = ", ".join(f"127.0.0.1:{port}" for port in self.seeds)
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(f"""[gateway]
name = {self.name}
zone = {self.zone}
connections_max = 3800
cores = 0.25

[addresses]
callers = 127.0.0.1:{self.callers}
readiness = 127.0.0.1:{self.readiness}
peers = 127.0.0.1:{self.peers}
hop = 127.0.0.1:{self.hop}
operators = 127.0.0.1:{self.metrics}

[store]
addresses = 127.0.0.1:{self.store_port}

[members]
seeds = {seeds}

[regions]
zones = hkd-a, hkd-b, hkd-c
regions = hkd, hkd, hkd

[bounds]
retry_ratio = 0.2
retry_window_ms = 10s
retry_allowance = 54
cold_factor = 1.5
cold_allowance = 5
load_factor = 2
drain_ms = 2000
shutdown_grace_ms = 8s
cache_reuse_ms = 10s
""")

    def start(self):
        self.write_settings()
        log = open(self.log, "ab")
        self.process = subprocess.Popen(
            [DAEMON, "--boundary", "kinrin", "--settings", self.path],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        self.record.write(f"daemon {self.name} started")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.write(f"daemon {self.name} gets {signal.Signals(number).name}")

    def is_ready(self):
        try:
            with socket.create_connection(("127.0.0.1", self.readiness), 1) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(200).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """A store and daemons; ends all processes on exit."""

    def __init__(self, folder, daemons, first_configuration=None):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="celeryknot-review-")
        self.store = Store(self.record)
        self.store.put("op/config", first_configuration or configuration(7))
        zones = ["hkd-a", "hkd-b", "hkd-c"]
        self.daemons = [
            Daemon(self.record, self.temporary.name, f"edge-{zones[i % 3]}-{i // 3 + 1}",
                   zones[i % 3], self.store.port, [])
            for i in range(daemons)
        ]
        seeds = [daemon.peers for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.seeds = seeds

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary.name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        for daemon in self.daemons:
            daemon.stop()
        self.temporary.cleanup()

    def start(self):
        for daemon in self.daemons:
            daemon.start()

    def wait_ready(self, timeout_s=10):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if all(daemon.is_ready() for daemon in self.daemons):
                return
            time.sleep(0.05)
        raise RuntimeError("the daemons aren't ready")


class Answer:
    """What a caller got."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.events = []
        self.is_complete = False
        self.error = ""
        self.sent_at = now()
        self.ended_at = None


_numbers = iter(range(1, 1 << 60))
_numbers_lock = threading.Lock()


def new_attempt():
    with _numbers_lock:
        return "%016x" % (0x9C41D07B00000000 + next(_numbers))


def send(record, port, method, path, attempt=None, deadline_ms=1500, fields=(), body=b"",
         prompt=None, output_tokens=240, on_event=None, sock=None):
    """Sends one request and reads its answer; a stream's events are read as they come."""
    attempt = attempt or new_attempt()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
             f"Deadline-Ms: {deadline_ms}", f"X-Api-Key: {KEY}"]
    if prompt is not None:
        tokens = sum(int(part.split(":")[1]) for part in prompt.split(","))
        lines += ["Model: m", f"Token-Count: {tokens},{output_tokens}", f"Prefix-Hash: {prompt}"]
    lines += list(fields)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    answer = Answer()
    answer.attempt = attempt
    try:
        if sock is None:
            sock = socket.create_connection(("127.0.0.1", port), 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(deadline_ms / 1000 + 1)
        record.write(f"caller sends {method} {path} {attempt} to port {port}")
        sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        reader = sock.makefile("rb")
        head = read_head(reader)
        if head is None:
            raise OSError("closed without an answer")
        answer.status = int(head[0].split(" ")[1])
        answer.fields = head[1]
        read_answer_body(reader, answer, on_event)
    except (OSError, ValueError) as error:
        answer.error = str(error) or type(error).__name__
    finally:
        if sock is not None:
            sock.close()
    answer.ended_at = now()
    record.write(
        f"caller gets {answer.status} for {attempt}: complete={answer.is_complete} "
        f"events={len(answer.events)} {answer.error}"
    )
    return answer


def read_answer_body(reader, answer, on_event):
    fields = answer.fields
    if "chunked" not in fields.get("transfer-encoding", "").lower():
        if "content-length" in fields:
            length = int(fields["content-length"])
            answer.body = reader.read(length)
            answer.is_complete = len(answer.body) == length
        else:
            answer.body = reader.read()
            answer.is_complete = True
        return
    text = b""
    while True:
        line = reader.readline(1024)
        if not line.endswith(b"\n"):
            return
        size = int(line.split(b";")[0].strip(), 16)
        data = reader.read(size + 2)
        if len(data) < size + 2:
            return
        if size == 0:
            answer.is_complete = True
            return
        answer.body += data[:-2]
        text += data[:-2]
        while b"\n\n" in text:
            event, _, text = text.partition(b"\n\n")
            parts = dict(line.split(": ", 1) for line in event.decode().splitlines() if ": " in line)
            answer.events.append((int(parts["id"]), parts["data"]))
            if on_event is not None:
                on_event(answer)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def finish(record, is_broken, text):
    """Reports the result and ends the script."""
    verdict = "BROKEN" if is_broken else "held"
    record.write(f"{verdict}: {text}")
    print(f"{verdict}: {text}")
    sys.stdout.flush()
    return 1 if is_broken else 0


def main(run):
    """Runs a case in its folder; a script that can't run ends with 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(DAEMON):
        print("target/release/celeryknotd isn't built")
        sys.exit(2)

    def stop(*_):
        # Only the first signal counts: the fleet is ending its processes.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        raise TimeoutError("stopped by a signal")

    # The fleet then ends its processes before the script does.
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        code = run(folder)
    except BaseException as error:  # Whatever keeps the case from running.
        print(f"can't run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
