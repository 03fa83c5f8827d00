import http.client
import json
import multiprocessing
import re
import signal
import socket
import tempfile
import threading
import time
from pathlib import Path

import attrs
from behave import given, then, when

from bramleystair.http import HttpReply, HttpServer
from bramleystair.loop import EventLoop
from bramleystair.nodes._settings import EPOCH_KIND, MEMBER_KIND
from bramleystair.nodes._snapshots import SNAPSHOT_PATH
from bramleystair.platform._configuration import CONFIG_KIND, EVACUATION_KIND
from bramleystair.platform._main import METRICS_PORT_VARIABLE, SETTINGS_PATH_VARIABLE
from bramleystair.platform.standins import _settings as standin_settings
from bramleystair.platform.standins._store import RawJson, create_store_server
from bramleystair.platform.standins._writer import post_report
from bramleystair.soak._fleet import ROOT, Program
from bramleystair.standins import wait_until
from bramleystair.steering._rosters import _compute_part
from bramleystair.timers import MonotonicClock
from support.networks import NETWORK

STORE = (f"{NETWORK}.2.1", standin_settings.STORE_PORT)
BALANCER, AGENT, PEER = f"{NETWORK}.3.1", f"{NETWORK}.4.1", f"{NETWORK}.3.9"
METRICS_PORT = 9100
START_LIMIT_S = 10.0
READINESS_LIMIT_S = 0.5
BYTES_PER_UNIT = {"MB": 1_048_000, "KB": 1_000}
KIND_NAMES = {
    "members": MEMBER_KIND,
    "epochs": EPOCH_KIND,
    "config": CONFIG_KIND,
    "evacuations": EVACUATION_KIND,
    "rules": "rules",
}


@attrs.define
class Node:
    """A node process, and how long it took to answer readiness checks."""

    program: Program
    ip: str
    limit_mb: int
    peak_mb: float = 0.0
    longest_s: float = 0.0

    def check(self):
        """Measure the memory of the process and ask whether it is ready."""
        status = Path(f"/proc/{self.program.process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        assert match, (
            f"the process has ended: {self.program.output.read_text()[-2000:]}"
        )
        self.peak_mb = int(match[1]) * 1024 / 1e6
        assert self.peak_mb < self.limit_mb, f"{self.peak_mb:.0f} MB"
        started_s = time.monotonic()
        answer = self.fetch(standin_settings.READY_PORT, "/bramleystair/ready")
        self.longest_s = max(self.longest_s, time.monotonic() - started_s)
        return answer is not None

    def fetch(self, port, path):
        """Return the body of an answer, or None if there is none."""
        connection = http.client.HTTPConnection(self.ip, port, timeout=3)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.read().decode()
        except OSError:
            return None
        finally:
            connection.close()


class StoreProcess:
    """Store in a process of its own, so that its work does not delay the checks."""

    def __init__(self):
        self._commands, commands = multiprocessing.Pipe()
        self.process = multiprocessing.Process(
            target=serve_objects, args=(commands,), daemon=True
        )
        self.process.start()
        self._commands.recv()

    def write(self, kind, contents):
        """Write objects as another writer does, whatever their revisions."""
        self._call(("write", kind, contents))

    def read(self, kind, name):
        """Return the content of an object, or None."""
        return self._call(("read", kind, name))

    def call(self, method, *arguments):
        """Call a method of the table of objects."""
        self._call((method, *arguments))

    def stop(self):
        self.process.kill()
        self.process.join()

    def _call(self, command):
        self._commands.send(command)
        return self._commands.recv()


def serve_objects(commands):
    """Serve the store, and execute commands that arrive on a pipe."""
    server, objects = create_store_server(*STORE)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    commands.send(None)
    while True:
        result = None
        match commands.recv():
            case ("write", kind, contents):
                with objects.changed:
                    for name, content in contents.items():
                        is_new = name not in objects.items.get(kind, {})
                        objects.write(kind, name, content, None, is_new)
            case ("read", kind, name):
                item = objects.items.get(kind, {}).get(name)
                result = None if item is None else item["spec"]
            case (method, *arguments):
                getattr(objects, method)(*arguments)
        commands.send(result)


def start_store(context):
    context.store = StoreProcess()
    context.add_cleanup(context.store.stop)


def start_node(context, name, ip, limit_mb, seeds=(), is_agent=False):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    document = standin_settings.build_settings(
        name, ip, "zone-a", STORE, seeds, is_agent
    )
    document["Limits"] = {"MemoryMb": limit_mb}
    document["Zones"] = {"zone-a": "region", "zone-b": "region"}
    settings = Path(folder.name, "settings.json")
    settings.write_text(json.dumps(document))
    program = Program(
        [str(ROOT / "deploy" / "node.py"), "agent" if is_agent else "balancer"],
        {
            SETTINGS_PATH_VARIABLE: str(settings),
            METRICS_PORT_VARIABLE: str(METRICS_PORT),
        },
        Path(folder.name, "output"),
    )
    program.start()
    context.add_cleanup(program.kill)
    context.node = Node(program, ip, limit_mb)


def build_entry(host, zone="zone-b", server="s"):
    return {
        "host": host,
        "port": standin_settings.PACKET_PORT,
        "zone": zone,
        "service": standin_settings.SERVICE_NAME,
        "state": "ready",
        "slots": 5,
        "server": server,
        "started_ms": 1,
    }


def build_content(shape, size, name):
    """Return content of about `size` bytes."""
    match shape:
        case "empty objects":
            return RawJson('{"state":[' + ",".join(["{}"] * (size // 3 + 1)) + "]}")
        case "one long text":
            return RawJson('{"state":"' + "a" * size + '\U0001f600"}')
        case "deep arrays":
            return RawJson("[" * (size // 2) + "]" * (size // 2))
        case "like an agent's":
            return build_entry(name, server="s" * (size + 1))
        case "hosts":
            return build_roster(name, size)
        case _:
            raise ValueError(f"unknown shape {shape}")


def build_roster(name, size):
    """Return a part of a roster of 1,024 parts that names agents that do not exist."""
    part = int(name.rpartition("-")[2])
    hosts, number = [], 0
    while len(hosts) < min(size // 16, 768) and number < 40_000:
        host = f"10.{number % 200}.{number // 200}.{part % 250}"
        number += 1
        if _compute_part(host, 1024) == part:
            hosts.append(host)
    return {"parts": 1024, "hosts": hosts, "writer": "other"}


def build_name(sort, number):
    match sort:
        case "entries":
            return f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}"
        case "own":
            return AGENT
        case "zones":
            return f"a-zone-{number}"
        case "rosters":
            return f"roster-{number // 1024}-{number % 1024}"
        case _:
            return f"other-{number}"


def parse_objects(text):
    """Return kind, and names with contents, of a description of objects."""
    match = re.fullmatch(
        r"(\d+) (objects|entries|own|zones|rosters)(?: entries)? of (\d+) (KB|MB)"
        r"(?: with)? (.*) in (\w+)",
        text,
    )
    count, sort, number, unit, shape, kind = match.groups()
    size = int(number) * BYTES_PER_UNIT[unit]
    names = [build_name(sort, each) for each in range(int(count))]
    if shape in ("like an agent's", "hosts"):
        return KIND_NAMES[kind], {n: build_content(shape, size, n) for n in names}
    content = build_content(shape, size, "")
    return KIND_NAMES[kind], dict.fromkeys(names, content)


@given("a balancer process with {count:d} members and {limit:d} MB of memory")
def start_balancer(context, count, limit):
    start_store(context)
    context.version = 1
    configuration = standin_settings.build_configuration(1)
    context.store.write(CONFIG_KIND, {"main": configuration})
    for number in range(count):
        host = f"{NETWORK}.4.{number + 1}"
        context.store.write(MEMBER_KIND, {host: build_entry(host, "zone-a")})
    start_node(context, "balancer", BALANCER, limit)
    wait_until_configured(context, START_LIMIT_S)


@given("an agent process with {limit:d} MB of memory")
def start_agent(context, limit):
    start_store(context)
    start_node(context, "agent", AGENT, limit, is_agent=True)
    report(context)
    wait_until(lambda: is_own_entry_readable(context), START_LIMIT_S, "entry")


def report(context):
    body = {
        "Service": standin_settings.SERVICE_NAME,
        "Address": f"{AGENT}:{standin_settings.APP_PORT}",
        "Zone": "zone-a",
        "Version": "v1",
        "Slots": 5,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": 1,
    }
    control = (AGENT, standin_settings.CONTROL_PORT)

    def is_published():
        post_report(control, "s1", json.dumps(body).encode())
        return is_own_entry_readable(context)

    wait_until(is_published, START_LIMIT_S, "entry of the agent")


def is_own_entry_readable(context):
    content = context.store.read(MEMBER_KIND, AGENT)
    return isinstance(content, dict) and "host" in content


@given("a peer that passes on {text}")
def start_peer(context, text):
    start_store(context)
    kind, contents = parse_objects(text)
    configuration = standin_settings.build_configuration(1)
    snapshot = {
        "rules": [["main", 2, configuration]],
        "evacuations": [],
        "members": [],
    }
    parts = {name: [json.dumps(row) for row in rows] for name, rows in snapshot.items()}
    parts[kind] += [
        f'["{name}", 3, {content.text}]' for name, content in contents.items()
    ]
    body = ", ".join(f'"{name}": [{", ".join(rows)}]' for name, rows in parts.items())
    loop = EventLoop(MonotonicClock())
    context.requests = 0

    def answer(request):
        context.requests += request.target == SNAPSHOT_PATH
        return HttpReply(200, f"{{{body}}}".encode())

    server = HttpServer(loop, (PEER, standin_settings.INNER_PORT), answer)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()

    def stop():
        loop.stop()
        thread.join()
        server.close()
        loop.close()

    context.add_cleanup(stop)


@given("a balancer process with {limit:d} MB of memory whose store does not answer")
def start_balancer_alone(context, limit):
    context.store.call("lose_responses", 60.0)
    start_node(context, "balancer", BALANCER, limit, (PEER,))

    def has_snapshot():
        return "snapshot loaded" in context.node.program.output.read_text()

    wait_until(has_snapshot, START_LIMIT_S, "snapshot")


@when("another writer leaves {text} one by one")
def leave_one_by_one(context, text):
    kind, contents = parse_objects(text)
    for name, content in contents.items():
        context.store.write(kind, {name: content})
        context.node.check()
        time.sleep(0.1)


@when("another writer leaves {text} all at once")
def leave_at_once(context, text):
    kind, contents = parse_objects(text)
    # A watch returns the changes made while the node was not running in one response.
    context.node.program.send(signal.SIGSTOP)
    context.store.write(kind, contents)
    context.node.program.send(signal.SIGCONT)


@when("another writer leaves {text} {count:d} times")
def leave_repeatedly(context, text, count):
    kind, contents = parse_objects(text)
    for number in range(count):
        for name, content in contents.items():
            content = RawJson(" " * number + content.text)
            context.store.write(kind, {name: content})
            context.node.check()
        time.sleep(0.05)


@when("another writer leaves {text} before a restart")
def leave_before_restart(context, text):
    kind, contents = parse_objects(text)
    context.node.program.kill()
    context.store.write(kind, contents)
    context.node.program.start()
    if context.node.ip == AGENT:
        report(context)


@when("another writer leaves {text} before a restoration")
def leave_before_restoration(context, text):
    leave_one_by_one(context, text)
    context.store.call("restore", 0.0, 0.5)
    time.sleep(0.6)


@then(
    "each process answers readiness checks and stays within its memory for {limit:d} s"
)
def check_processes(context, limit):
    wait_until(context.node.check, START_LIMIT_S, "readiness")
    end_s = time.monotonic() + limit
    context.node.longest_s = 0.0
    while time.monotonic() < end_s:
        assert context.node.check()
        time.sleep(0.02)
    assert context.node.longest_s < READINESS_LIMIT_S, context.node.longest_s


def wait_until_configured(context, limit):
    def is_configured():
        text = context.node.program.output.read_text()
        return f'"version": {context.version},' in text

    wait_until(is_configured, limit, "configuration")


@then("a new configuration is in force within {limit:d} s")
def check_configuration(context, limit):
    context.version += 1
    configuration = standin_settings.build_configuration(context.version)
    context.store.write(CONFIG_KIND, {"main": configuration})
    wait_until_configured(context, limit)


@then("a new member is asked for its load within {limit:d} s")
def check_member(context, limit):
    host = f"{NETWORK}.4.99"
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as member:
        member.bind((host, standin_settings.PACKET_PORT))
        member.settimeout(limit)
        context.store.write(MEMBER_KIND, {host: build_entry(host, "zone-a")})
        _, sender = member.recvfrom(2048)
    assert sender[0] == BALANCER


@then("an evacuated zone is in force within {limit:d} s")
def check_evacuation(context, limit):
    context.store.write(EVACUATION_KIND, {"zone-a": {}})

    def is_evacuated():
        text = context.node.fetch(METRICS_PORT, "/metrics") or ""
        return re.search(r'zone_evacuated{.*"zone-a".*} 1', text) is not None

    wait_until(is_evacuated, limit, "evacuated zone")
    context.node.check()


@then("the agent's entry can be read within {limit:d} s")
def check_own_entry(context, limit):
    wait_until(lambda: is_own_entry_readable(context), limit, "own entry")
    context.node.check()
