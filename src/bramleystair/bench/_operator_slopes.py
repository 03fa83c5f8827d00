"""Slopes of the operator's client."""

import tempfile
from pathlib import Path

import attrs
from result import Ok

from bramleystair.bench._fits import Slope, fit_slope, time_us
from bramleystair.bench._planned import FACTORS, PLANNED, build_objects
from bramleystair.operators import OperatorSession, apply_table, export_table
from bramleystair.store import Accepted, Listing, PlatformObject
from bramleystair.wire import StoredObject

SERVICE = "service-1"
ROUNDS = 5


@attrs.define
class CountingClient:
    """Platform that answers at once and counts calls and bytes of bodies."""

    objects: dict[str, PlatformObject]
    reads: int = 0
    writes: int = 0
    bytes: int = 0

    def list_objects(self, prefix: str = "") -> Ok:
        """Return the objects under `prefix`."""
        found = tuple(o for key, o in self.objects.items() if key.startswith(prefix))
        self.reads += 1
        self.bytes += sum(len(item.key) + len(item.body) for item in found)
        return Ok(Listing(found, 1))

    def put_verified(self, key: str, body: str, **details) -> Ok:
        """Keep `body` under the next version."""
        version = self.objects[key].version + 1
        self.objects[key] = PlatformObject(key, version, body=body)
        self.writes += 1
        self.bytes += len(key) + len(body)
        return Ok(Accepted(version))


def _build_object(item: StoredObject) -> PlatformObject:
    return PlatformObject(item.key, item.version, body=item.body.decode())


def measure_operator() -> list[Slope]:
    """Return what one changed table costs the operator's client."""
    points: dict[str, list] = {"reads": [], "writes": [], "bytes": [], "work": []}
    for factor in FACTORS:
        items = map(_build_object, build_objects(PLANNED.scale(factor)))
        client = CountingClient({item.key: item for item in items})
        count = len(client.objects)
        with tempfile.TemporaryDirectory() as directory:
            work = _change_rows(client, Path(directory) / "table.csv")
        values = (client.reads, client.writes, client.bytes)
        for kind, value in zip(points, values, strict=False):
            points[kind].append((count, value / ROUNDS))
        points["work"].append((count, work))
    units = {"reads": "calls", "writes": "calls", "bytes": "B", "work": "us"}
    return [
        fit_slope(f"operator_{kind}", "objects", units[kind], values)
        for kind, values in points.items()
    ]


def _change_rows(client: CountingClient, file: Path) -> float:
    session = OperatorSession(client, "bench", push=lambda item, balancers: ())
    weights = iter(range(2, 2 + ROUNDS))

    def change():
        export_table(session, SERVICE, file)
        lines = file.read_text().splitlines()
        fields = lines[1].split(",")
        fields[2] = str(next(weights))
        file.write_text("\n".join([lines[0], ",".join(fields), *lines[2:], ""]))
        report = apply_table(session, file)
        assert report.outcome == "accepted", report

    return time_us(change, ROUNDS)
