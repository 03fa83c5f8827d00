"""Rosters: lists of all members, kept in the store in several copies.

Another writer may remove the entry of an agent that lives, so entries alone do not show
who exists. Balancers write the addresses of all members to a few further objects. An
address is known as long as its entry or one copy of the roster can be read.

The members are divided into parts by a hash of their hosts, so that a change rewrites
small objects. The object `roster-1-4` is the second copy of the fifth part.
"""

import heapq
import re
from collections import Counter
from collections.abc import Collection, Mapping
from typing import Any

import attrs
import xxhash
from result import Err, Ok, Result

from bramleystair.documents import DECODE_ERRORS, read_int, read_text
from bramleystair.errors import StepError
from bramleystair.steering._entries import is_node_host
from bramleystair.steering._types import Address

COPIES = 3
# Mean number of members in a part above which the number of parts is doubled: parts of
# larger rosters hold 48 to 96.
PART_MEMBERS = 96
MAX_PARTS = 1024
# More hosts than the hash puts into a part.
MAX_PART_HOSTS = 8 * PART_MEMBERS
# Longest name of a balancer.
MAX_WRITER_CHARACTERS = 255
NAME_PREFIX = "roster-"
_NAME = re.compile(NAME_PREFIX + r"([0-2])-(0|[1-9][0-9]{0,3})")

RosterKey = tuple[int, int]


@attrs.frozen
class RosterCopy:
    """Content of one object: a copy of a part.

    Parameters
    ----------
    revision : int
        Store revision of the object.
    part_count : int
        Number of parts of the roster; 0 if the object cannot be read.
    writer : str
        Name of the balancer that wrote the object.
    """

    revision: int
    part_count: int = 0
    addresses: frozenset[Address] = frozenset()
    writer: str = ""


@attrs.frozen
class RosterChange:
    """Object of a roster that does not name the members.

    Parameters
    ----------
    revision : int or None
        Revision of the object that is replaced; None if it is missing.
    value : object
        Content to write; None deletes the object.
    reason : str
        What is wrong with the present object.
    """

    name: str
    revision: int | None
    value: Any
    reason: str


@attrs.frozen
class Roster:
    """All copies of all parts, as far as they are in the store.

    Parameters
    ----------
    copies : mapping of RosterKey to RosterCopy
        Copies by copy number and part.
    revision : int
        Store revision up to which the copies are known; 0 if they are those of another
        balancer, which may be outdated.
    epoch : int
        Epoch of the store; 0 if unknown.
    port : int
        Port at which all agents receive messages.
    named : frozenset of address
        Addresses that any copy names.
    agreed : frozenset of address or None
        Addresses that all copies name if all are present, can be read and agree.
    """

    copies: Mapping[RosterKey, RosterCopy] = attrs.field(factory=dict)
    revision: int = 0
    epoch: int = 0
    port: int = 0
    named: frozenset[Address] = attrs.field(init=False)
    agreed: frozenset[Address] | None = attrs.field(init=False)

    @named.default
    def _find_named(self) -> frozenset[Address]:
        return frozenset().union(*(copy.addresses for copy in self.copies.values()))

    @agreed.default
    def _find_agreed(self) -> frozenset[Address] | None:
        first = self.copies.get((0, 0))
        if first is None or len(self.copies) != COPIES * first.part_count:
            return None
        for (_, part), copy in self.copies.items():
            reference = self.copies.get((0, part))
            if reference is None or copy.part_count != first.part_count:
                return None
            if copy.addresses != reference.addresses:
                return None
        return self.named

    def list_first(self, addresses: Collection[Address], limit: int) -> list[Address]:
        """Return up to `limit` of the addresses, those first that most copies name."""
        counts = Counter(
            address for copy in self.copies.values() for address in copy.addresses
        )
        return heapq.nsmallest(limit, addresses, lambda a: (-counts[a], a))

    def find_writer(self) -> str | None:
        """Return the name of the balancer that wrote most of the copies, if any."""
        counts = Counter(copy.writer for copy in self.copies.values())
        for name, count in counts.most_common(1):
            if 2 * count > len(self.copies):
                return name
        return None

    def list_changes(
        self, members: Collection[Address], writer: str
    ) -> list[RosterChange]:
        """Return the objects to write so that all copies name exactly `members`.

        Parameters
        ----------
        writer : str
            Name of the balancer that writes.
        """
        if not members and not self.copies:
            return []
        part_count = self._choose_part_count(len(members))
        parts: list[set[Address]] = [set() for _ in range(part_count)]
        for address in members:
            parts[_compute_part(address[0], part_count)].add(address)
        changes = []
        for part, addresses in enumerate(parts):
            for number in range(COPIES):
                present = self.copies.get((number, part))
                reason = _find_reason(present, part_count, addresses)
                if reason is None:
                    continue
                value = _encode_part(part_count, addresses, writer)
                revision = None if present is None else present.revision
                name = _format_name(number, part)
                changes.append(RosterChange(name, revision, value, reason))
        # Parts that are left over would name members that have left.
        changes += [
            RosterChange(_format_name(number, part), copy.revision, None, "surplus")
            for (number, part), copy in self.copies.items()
            if part >= part_count
        ]
        return changes

    def _choose_part_count(self, count: int) -> int:
        """Return the number of parts for `count` members.

        Twice as many as needed are kept, so that a few members that come and go do not
        rewrite all parts.
        """
        least = 1
        while least * PART_MEMBERS < count and least < MAX_PARTS:
            least *= 2
        present = [
            copy.part_count for (_, part), copy in self.copies.items() if part == 0
        ]
        is_kept = present.count(2 * least) > COPIES // 2
        return 2 * least if is_kept else least


def is_roster_name(name: str) -> bool:
    """Return whether an object may be one of a roster, by its name."""
    return _NAME.fullmatch(name) is not None


def parse_roster_name(name: str) -> RosterKey:
    """Return the copy number and the part in the name of an object of a roster."""
    copy, part = name.removeprefix(NAME_PREFIX).split("-")
    return int(copy), int(part)


def decode_roster_copy(
    name: str, value: Any, revision: int, port: int
) -> Result[RosterCopy, StepError]:
    """Return the content of an object, or an error if no balancer wrote it.

    Parameters
    ----------
    port : int
        Port at which all agents receive messages.
    """
    try:
        return Ok(_read_copy(parse_roster_name(name)[1], value, revision, port))
    except DECODE_ERRORS as error:
        return Err(StepError("read roster", "store", repr(error)))


def condense_roster_copy(name: str, value: Any) -> dict[str, Any]:
    """Return the content of an object without what no balancer writes.

    Raises one of `DECODE_ERRORS` if no balancer wrote it.
    """
    _read_copy(parse_roster_name(name)[1], value, 0, 0)
    return {key: value[key] for key in ("parts", "hosts", "writer")}


def _read_copy(part: int, value: Any, revision: int, port: int) -> RosterCopy:
    part_count = read_int(value["parts"], "parts", 1, MAX_PARTS)
    if part_count & (part_count - 1) or part >= part_count:
        raise ValueError(f"part {part} of {part_count}")
    hosts = value["hosts"]
    if not isinstance(hosts, list) or len(hosts) > MAX_PART_HOSTS:
        raise ValueError("hosts are no list of one part")
    for host in hosts:
        if not is_node_host(read_text(host, "host")):
            raise ValueError(f"{host!r} is not the address of a node")
        if _compute_part(host, part_count) != part:
            raise ValueError(f"{host} is of another part")
    writer = read_text(value["writer"], "writer")
    if len(writer) > MAX_WRITER_CHARACTERS:
        raise ValueError("writer is no name of a balancer")
    addresses = frozenset((host, port) for host in hosts)
    return RosterCopy(revision, part_count, addresses, writer)


def _encode_part(
    part_count: int, addresses: Collection[Address], writer: str
) -> dict[str, Any]:
    hosts = sorted(host for host, _ in addresses)
    return {"parts": part_count, "hosts": hosts, "writer": writer}


def _compute_part(host: str, part_count: int) -> int:
    return xxhash.xxh32_intdigest(host.encode()) % part_count


def _format_name(copy: int, part: int) -> str:
    return f"{NAME_PREFIX}{copy}-{part}"


def _find_reason(
    present: RosterCopy | None, part_count: int, addresses: Collection[Address]
) -> str | None:
    """Return why a copy has to be written, or None if it is up to date."""
    if present is None:
        return "missing"
    if not present.part_count:
        return "unreadable"
    if (present.part_count, present.addresses) != (part_count, addresses):
        return "outdated"
    return None
