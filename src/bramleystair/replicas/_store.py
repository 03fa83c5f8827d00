"""Store of the newest known version of each object."""

from collections.abc import Iterable

import xxhash
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.replicas._versions import (
    LIVENESS_PREFIX,
    compute_tombstone_version,
    get_incarnation,
    is_down_version,
)
from bramleystair.tables import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    ZONE_PREFIX,
    AgentAnnouncement,
    BalancerAnnouncement,
    Table,
    ZoneMark,
    decode_object,
    replace_version,
)
from bramleystair.views import View
from bramleystair.wire import StoredObject, VersionHeader

BUCKET_COUNT = 16
# Each bucket is divided into 16 fine buckets. If two digests differ, the fine digests
# show which 1/256 parts of the versions to list.
FINE_BUCKET_COUNT = 256
FINE_PER_BUCKET = FINE_BUCKET_COUNT // BUCKET_COUNT
VERSION_BYTES = 8

_VIEW_FIELDS = {
    TABLE_PREFIX: "tables",
    ZONE_PREFIX: "zones",
    AGENT_PREFIX: "agents",
    BALANCER_PREFIX: "nodes",
}


def hash_version(key: str, version: int) -> int:
    """Return the 64-bit hash of a key and its version."""
    return xxhash.xxh64_intdigest(version.to_bytes(VERSION_BYTES, "big") + key.encode())


def find_fine_bucket(key: str) -> int:
    """Return the number of the fine bucket of `key`."""
    return xxhash.xxh64_intdigest(key.encode()) % FINE_BUCKET_COUNT


class ObjectStore:
    """Store of the newest version of each object, with digests and a view.

    An object is never replaced by a lower or equal version. A tombstone, an object
    with an empty body, is stored like any other version.
    """

    def __init__(self) -> None:
        self.digest = [0] * BUCKET_COUNT
        self.fine_digest = [0] * FINE_BUCKET_COUNT
        self.generation = 0
        self.membership_generation = 0
        self.tables: dict[str, Table] = {}
        self.zones: dict[str, ZoneMark] = {}
        self.agents: dict[str, AgentAnnouncement] = {}
        self.nodes: dict[str, BalancerAnnouncement] = {}
        # Keys of zone marks, including deleted ones, whose tombstones every agent needs
        # too.
        self.zone_keys: dict[str, None] = {}
        self._services_by_server: dict[str, set[str]] = {}
        self._objects: dict[str, StoredObject] = {}
        # Dictionaries instead of sets, as their insertion order makes runs
        # reproducible.
        self._buckets: list[dict[str, None]] = [{} for _ in range(FINE_BUCKET_COUNT)]
        self._down: dict[str, int] = {}
        self._stale_parts = {*_VIEW_FIELDS.values(), "down"}
        self._view = View()

    def __len__(self) -> int:
        """Return the number of objects, including tombstones."""
        return len(self._objects)

    def copy_from(self, other: "ObjectStore") -> None:
        """Replace the content by that of `other`; used by benchmarks."""
        for name in (*_VIEW_FIELDS.values(), "_objects", "_down", "zone_keys"):
            setattr(self, name, dict(getattr(other, name)))
        self._buckets = [dict(bucket) for bucket in other._buckets]
        self._services_by_server = {
            k: set(v) for k, v in other._services_by_server.items()
        }
        self.digest = list(other.digest)
        self.fine_digest = list(other.fine_digest)
        self.generation += 1
        self.membership_generation += 1
        self._stale_parts = {*_VIEW_FIELDS.values(), "down"}

    def get(self, key: str) -> StoredObject | None:
        """Return the newest object under `key`, or None."""
        return self._objects.get(key)

    def get_version(self, key: str) -> int:
        """Return the stored version of `key`, or 0."""
        known = self._objects.get(key)
        return 0 if known is None else known.version

    def put(self, item: StoredObject) -> Result[bool, StepError]:
        """Store `item` if it is newer than the stored version; return whether it is."""
        if item.version <= self.get_version(item.key):
            return Ok(False)
        decoded = self._decode(item)
        if decoded.is_err():
            return Err(decoded.err())
        self._store_object(item)
        self._update_view_part(item.key, decoded.ok())
        self.generation += 1
        return Ok(True)

    def find_member(self, name: str) -> AgentAnnouncement | BalancerAnnouncement | None:
        """Return the announcement of the agent or balancer `name`, or None."""
        return self.agents.get(name) or self.nodes.get(name)

    def is_down(self, name: str) -> bool:
        """Return whether the announced incarnation of `name` is reported down."""
        member = self.find_member(name)
        return member is not None and self._down.get(name) == member.incarnation

    def list_services(self, server: str) -> set[str]:
        """Return the services whose tables have a row for `server`."""
        return self._services_by_server.get(server, set())

    def normalise_version(self, item: StoredObject) -> StoredObject:
        """Return a platform object with the version by which replicas order it.

        Announcements are ordered by the owner's version in their body. A lease renewal,
        which changes only the platform's version, is therefore not a new version.
        """
        if not item.key.startswith((AGENT_PREFIX, BALANCER_PREFIX)):
            return item
        if not item.body:
            version = compute_tombstone_version(self.get_version(item.key))
            return StoredObject(item.key, version, item.nonce, b"")
        decoded = decode_object(item.key, item.body)
        if decoded.is_err() or decoded.ok().version == 0:
            return item
        return StoredObject(item.key, decoded.ok().version, item.nonce, item.body)

    def list_headers(self, fine_bucket: int) -> list[VersionHeader]:
        """Return the keys and versions stored in `fine_bucket`."""
        return [
            VersionHeader(key, self._objects[key].version)
            for key in self._buckets[fine_bucket]
        ]

    def list_objects(self, prefix: str = "") -> list[StoredObject]:
        """Return the objects whose key starts with `prefix`, including tombstones."""
        return [item for key, item in self._objects.items() if key.startswith(prefix)]

    def digest_keys(self, keys: Iterable[str]) -> int:
        """Return the XOR of the hashes of `keys` and their stored versions."""
        total = 0
        for key in keys:
            total ^= hash_version(key, self.get_version(key))
        return total

    def build_view(self) -> View:
        """Return a view of all objects; only parts that changed are copied."""
        if not self._stale_parts:
            return self._view
        parts = {
            name: dict(getattr(self, name))
            if name in self._stale_parts
            else getattr(self._view, name)
            for name in _VIEW_FIELDS.values()
        }
        down = self._view.down
        if "down" in self._stale_parts:
            down = frozenset(self._down.items())
        self._view = View(**parts, down=down, generation=self.generation)
        self._stale_parts = set()
        return self._view

    def _decode(self, item: StoredObject) -> Result:
        if not item.body or item.key.startswith(LIVENESS_PREFIX):
            return Ok(None)
        return decode_object(item.key, item.body)

    def _store_object(self, item: StoredObject) -> None:
        fine = find_fine_bucket(item.key)
        change = hash_version(item.key, item.version)
        known = self._objects.get(item.key)
        if known is not None:
            change ^= hash_version(known.key, known.version)
        self.fine_digest[fine] ^= change
        self.digest[fine // FINE_PER_BUCKET] ^= change
        self._buckets[fine][item.key] = None
        if item.key.startswith(ZONE_PREFIX):
            self.zone_keys[item.key] = None
        self._objects[item.key] = item

    def _update_view_part(self, key: str, decoded) -> None:
        prefix, _, name = key.partition("/")
        version = self._objects[key].version
        if prefix + "/" == LIVENESS_PREFIX:
            self._update_down(name, version)
            return
        field = _VIEW_FIELDS[prefix + "/"]
        self._stale_parts.add(field)
        if field == "tables":
            self._index_table(name, decoded)
        if field == "nodes":
            self.membership_generation += 1
        part = getattr(self, field)
        if decoded is None:
            part.pop(name, None)
        else:
            part[name] = replace_version(decoded, version)

    def _index_table(self, service: str, table: Table | None) -> None:
        known = self.tables.get(service)
        for member in () if known is None else known.members:
            self._services_by_server[member.server].discard(service)
        for member in () if table is None else table.members:
            self._services_by_server.setdefault(member.server, set()).add(service)

    def _update_down(self, name: str, version: int) -> None:
        self._stale_parts.add("down")
        if name in self.nodes:
            self.membership_generation += 1
        if is_down_version(version):
            self._down[name] = get_incarnation(version)
        else:
            self._down.pop(name, None)
