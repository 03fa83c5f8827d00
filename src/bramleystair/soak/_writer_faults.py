"""Faults by another writer, by odd reports, and by lost responses of the store."""

import json
import random as random_module
import time

from bramleystair.nodes._settings import EPOCH_KIND, MEMBER_KIND
from bramleystair.platform._configuration import CONFIG_KIND, EVACUATION_KIND
from bramleystair.platform.standins import _oddities, _settings, _writer
from bramleystair.platform.standins._server import build_report
from bramleystair.soak._fleet import SERVERS, ProcessFleet

DELETION = "deleted"
# Bounds of the time for which changes and reports are repeated, and between two.
REPEATED_S = (0.5, 4.0)
REPEAT_DELAY_S = (0.05, 0.6)
LOST_S = (0.3, 4.0)
# Sequence number of reports of another writer; a server's own ones are lower.
FOREIGN_SEQUENCE = 1000
# Kinds with prefixes of names, numbers with sizes in bytes, and parts of large objects.
LARGE_OBJECT_NAMES = (
    (MEMBER_KIND, "other-"),
    (MEMBER_KIND, "10.1.1."),
    (CONFIG_KIND, "other-"),
    (EVACUATION_KIND, "zone-odd-"),
    (EPOCH_KIND, "other-"),
)
LARGE_OBJECT_COUNTS = ((12, 1_000_000), (60, 100_000), (200, 4_000))
LARGE_OBJECT_PARTS = ("{}", "[[]]", '"text"', "1.5", '{"a": {"b": 1}}')
# Share of the runs of this fault in which entries of agents are replaced as well.
OWN_ENTRY_SHARE = 0.5
ODD_CONFIGURATION, ODD_ZONE = "other", "zone-odd"


def change_entries(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Change the entries of agents once, or again and again; return what was done."""
    oddity = source.choice((*_oddities.ENTRY_ODDITIES, DELETION))
    numbers = _choose_agents(source)
    is_repeated = source.random() < 0.5
    end_s = time.monotonic() + (source.uniform(*REPEATED_S) if is_repeated else 0.0)
    while True:
        entries = fleet.writer.read(MEMBER_KIND)
        for number in numbers:
            host = fleet.get_agent_host(number)
            if oddity == DELETION:
                fleet.writer.delete(MEMBER_KIND, host)
                continue
            entry = _oddities.build_odd_entry(oddity, entries.get(host), source)
            fleet.writer.write(MEMBER_KIND, host, entry)
        if time.monotonic() >= end_s:
            break
        time.sleep(source.uniform(*REPEAT_DELAY_S))
    return _describe(oddity, is_repeated, numbers)


def add_objects(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Add odd objects of the operator's kinds for a time; return what was done."""
    kind, name = source.choice(
        ((CONFIG_KIND, ODD_CONFIGURATION), (EVACUATION_KIND, ODD_ZONE))
    )
    oddity = source.choice(_oddities.ENTRY_ODDITIES)
    fields = _settings.build_configuration(fleet.version + FOREIGN_SEQUENCE)
    fleet.writer.write(kind, name, _oddities.build_odd_entry(oddity, fields, source))
    time.sleep(source.uniform(*REPEATED_S))
    fleet.writer.delete(kind, name)
    return f"{kind}/{name} {oddity}"


def leave_large_objects(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Leave large objects, or many, for a time; return what was done."""
    kind, prefix = source.choice(LARGE_OBJECT_NAMES)
    count, size = source.choice(LARGE_OBJECT_COUNTS)
    part = source.choice(LARGE_OBJECT_PARTS)
    content = {"state": [json.loads(part)] * (size // len(part))}
    names = [f"{prefix}{number}" for number in range(count)]
    if source.random() < OWN_ENTRY_SHARE:
        names += [fleet.get_agent_host(number) for number in _choose_agents(source)]
    for name in names:
        fleet.writer.write(kind, name, content)
    time.sleep(source.uniform(*REPEATED_S))
    for name in names[:count]:
        fleet.writer.delete(kind, name)
    return f"{len(names)} of {size} bytes of {part}, {kind}/{prefix}"


def post_reports(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Send foreign reports to agents, once or repeatedly; return what was done."""
    is_deregistration = source.random() < 0.3
    oddity = source.choice(
        _oddities.DEREGISTRATION_ODDITIES
        if is_deregistration
        else _oddities.REPORT_ODDITIES
    )
    numbers = _choose_agents(source)
    is_repeated = source.random() < 0.5
    end_s = time.monotonic() + (source.uniform(*REPEATED_S) if is_repeated else 0.0)
    entries = fleet.writer.read(MEMBER_KIND)
    while True:
        for number in numbers:
            entry = entries.get(fleet.get_agent_host(number))
            server, started_ms = _read_identity(entry)
            control = fleet.get_control_address(number)
            if is_deregistration:
                report = _oddities.build_odd_deregistration(oddity, server, started_ms)
                _writer.post_deregistration(control, *report)
                continue
            options = fleet.get_server_options(number)
            body = build_report(options, FOREIGN_SEQUENCE, started_ms)
            report = _oddities.build_odd_report(oddity, server, body, source)
            _writer.post_report(control, *report)
        if time.monotonic() >= end_s:
            break
        time.sleep(source.uniform(*REPEAT_DELAY_S))
    name = f"deregistration of {oddity}" if is_deregistration else oddity
    return _describe(name, is_repeated, numbers)


def make_reports_odd(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Make the reports of some servers odd for a time; return which ones."""
    numbers = _choose_agents(source)
    duration_s = source.uniform(*REPEATED_S)
    for number in numbers:
        address = fleet.get_server_address(number)
        _writer.post_control(address, {"odd_s": duration_s})
    time.sleep(duration_s)
    return _describe("own reports", True, numbers)


def lose_responses(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Lose the store's responses to one node, some or all; return which ones."""
    names = sorted(fleet.proxies)
    count = source.choice((1, source.randint(2, len(names) - 1), len(names)))
    names = sorted(source.sample(names, count))
    duration_s = source.uniform(*LOST_S)
    for name in names:
        fleet.proxies[name].lose_responses(duration_s)
    time.sleep(duration_s)
    return " ".join(names)


def lose_responses_of_kind(fleet: ProcessFleet, source: random_module.Random) -> str:
    """Lose the store's responses for one kind of objects to all; return the kind."""
    kind = source.choice((MEMBER_KIND, CONFIG_KIND, EVACUATION_KIND))
    duration_s = source.uniform(*LOST_S)
    fleet.writer.lose_responses(duration_s, kind)
    time.sleep(duration_s)
    return kind


def _choose_agents(source: random_module.Random) -> list[int]:
    """Return the numbers of some agents, rarely all.

    Balancers that know no member at all reset no open flow.
    """
    return source.sample(range(SERVERS), source.choice((1, 2, 2, 3, SERVERS)))


def _read_identity(entry: object) -> tuple[str, int]:
    """Return the identifier and start of the server in an entry, which may be odd."""
    match entry:
        case {"server": str() as server, "started_ms": int() as started_ms}:
            return server, started_ms
        case _:
            return _oddities.OTHER_SERVER, int(time.time() * 1000)


def _describe(oddity: str, is_repeated: bool, numbers: list[int]) -> str:
    times = "repeated" if is_repeated else "once"
    return f"{oddity}, {times}, agents {sorted(numbers)}"
