"""Slopes of the costs of operator commands."""

import tempfile
from pathlib import Path

import attrs
from result import Ok

from bramleystair.bench._fits import Slope, fit_slope, measure_median_us
from bramleystair.bench._fleet_spec import PLANNED_FLEET, SCALE_FACTORS, build_objects
from bramleystair.operators import OperatorSession, apply_table, export_table
from bramleystair.store import Accepted, Listing, PlatformObject
from bramleystair.wire import StoredObject

SERVICE = "service-1"
ROUNDS = 5


@attrs.define
class CountingClient:
    """Platform client with an in-memory store that counts calls and bytes."""

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
        """Store `body` with the next version."""
        version = self.objects[key].version + 1
        self.objects[key] = PlatformObject(key, version, body=body)
        self.writes += 1
        self.bytes += len(key) + len(body)
        return Ok(Accepted(version))


def _build_object(item: StoredObject) -> PlatformObject:
    return PlatformObject(item.key, item.version, body=item.body.decode())


def measure_operator() -> list[Slope]:
    """Return the costs of exporting a table and applying one changed row."""
    points: dict[str, list] = {"reads": [], "writes": [], "bytes": [], "work": []}
    for factor in SCALE_FACTORS:
        items = map(_build_object, build_objects(PLANNED_FLEET.scale(factor)))
        client = CountingClient({item.key: item for item in items})
        count = len(client.objects)
        with tempfile.TemporaryDirectory() as directory:
            work = _time_row_changes(client, Path(directory) / "table.csv")
        values = (client.reads, client.writes, client.bytes)
        for kind, value in zip(points, values, strict=False):
            points[kind].append((count, value / ROUNDS))
        points["work"].append((count, work))
    units = {"reads": "calls", "writes": "calls", "bytes": "B", "work": "us"}
    return [
        fit_slope(f"operator_{kind}", "objects", units[kind], values)
        for kind, values in points.items()
    ]


def _time_row_changes(client: CountingClient, file: Path) -> float:
    session = OperatorSession(client, "bench", push=lambda item, balancers: ())
    weights = iter(range(2, 2 + ROUNDS))

    def change_row():
        export_table(session, SERVICE, file)
        lines = file.read_text().splitlines()
        fields = lines[1].split(",")
        fields[2] = str(next(weights))
        file.write_text("\n".join([lines[0], ",".join(fields), *lines[2:], ""]))
        report = apply_table(session, file)
        assert report.outcome == "accepted", report

    return measure_median_us(change_row, ROUNDS)
