"""Commands that show the status of nodes and changes on the platform."""

import concurrent.futures
import json
from collections.abc import Callable, Iterable, Iterator

import attrs
import cattrs
import requests
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.metrics import NodeStatus
from bramleystair.operators._reports import ExitCode, FailureReport
from bramleystair.operators._session import ANNOUNCEMENT_PREFIXES, OperatorSession
from bramleystair.store import (
    Changes,
    ErrorKind,
    Listing,
    PlatformObject,
    format_version,
)

STATUS_TIMEOUT_S = 3.0
STATUS_THREADS = 16
# Defaults of the settings of balancers and agents.
METRICS_PORTS = {"balancer/": 9100, "agent/": 9101}


@attrs.frozen
class VersionLag:
    """Nodes that hold an older version of an object than the newest known one."""

    key: str
    version: int
    holders: int
    behind: dict[str, int]


@attrs.frozen
class StatusReport:
    """Status of the nodes and versions in force."""

    nodes: tuple[NodeStatus, ...]
    lags: tuple[VersionLag, ...]
    unreachable: tuple[str, ...]
    note: str = ""

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command."""
        return ExitCode.UNREACHABLE if self.unreachable else ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        if self.note:
            yield self.note
        for lag in self.lags:
            behind = ", ".join(
                f"{node} {format_version(old)}" for node, old in lag.behind.items()
            )
            suffix = f"; behind: {behind}" if behind else ""
            version = format_version(lag.version)
            yield f"{lag.key} version {version} on {lag.holders} nodes{suffix}"
        for node in self.nodes:
            yield f"{node.kind} {node.node} ({node.zone}): {node.state}"
            for load in node.loads:
                yield (
                    f"  {load.service}: {load.flows}/{load.flow_limit} flows,"
                    f" {load.requests}/{load.request_limit} requests"
                )
            for name, value in node.list_refusals().items():
                yield f"  {name}: {value:g}"
        yield from (f"no status: {reason}" for reason in self.unreachable)


def read_status(
    session: OperatorSession,
    endpoints: Iterable[str] = (),
    fetch: Callable[[str], object] | None = None,
    metrics_port: int = 0,
) -> StatusReport | FailureReport:
    """Return the status of the nodes and the versions in force.

    Parameters
    ----------
    session : OperatorSession
        Platform client and editor.
    endpoints : iterable of str
        ``host:port`` of metrics ports; if empty, those of the announced nodes.
    fetch : callable, optional
        Called with an endpoint; returns the JSON document of `/status`.
    metrics_port : int
        Metrics port of the announced nodes; 0 for the defaults of the settings.
    """
    result = session.client.list_objects()
    objects = result.map(lambda listing: listing.objects).unwrap_or(())
    endpoints = tuple(endpoints) or _list_endpoints(objects, metrics_port)
    if not endpoints and result.is_err():
        return FailureReport.from_error(result.unwrap_err())
    note = "" if result.is_ok() else f"platform: {result.unwrap_err()}"
    with concurrent.futures.ThreadPoolExecutor(STATUS_THREADS) as pool:
        results = list(
            pool.map(lambda name: _read_node(name, fetch or fetch_status), endpoints)
        )
    nodes = tuple(result.unwrap() for result in results if result.is_ok())
    failed = tuple(str(result.unwrap_err()) for result in results if result.is_err())
    return StatusReport(nodes, _find_version_lags(objects, nodes), failed, note)


def fetch_status(endpoint: str) -> object:
    """Return the JSON document of `/status` at ``host:port``."""
    with requests.Session() as session:
        session.trust_env = False
        url = f"http://{endpoint}/status"
        response = session.get(url, timeout=STATUS_TIMEOUT_S)
        response.raise_for_status()
        return response.json()


@attrs.frozen
class Change:
    """A change of an object that the platform reported."""

    key: str
    version: int
    is_deleted: bool
    editor: str
    time: str
    changed: tuple[str, ...]
    exit_code: ExitCode = ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the line of the text output."""
        rows = "deleted" if self.is_deleted else ", ".join(self.changed)
        yield f"{self.time} {self.key} version {self.version} {self.editor} {rows}"


def watch_changes(
    session: OperatorSession, prefix: str, timeout_s: float
) -> Iterator[Change | FailureReport]:
    """Yield the changes under `prefix`; list again if the cursor has expired.

    The iteration ends with a report if the platform does not respond. No version is
    yielded twice.
    """
    versions: dict[str, int] = {}
    last: Listing | Changes | None = None
    while True:
        if last is None:
            result = session.client.list_objects(prefix)
        else:
            result = session.client.watch(prefix, last.cursor, timeout_s, last.epoch)
        if result.is_err():
            if result.unwrap_err().kind is ErrorKind.CURSOR_EXPIRED:
                last = None
                continue
            yield FailureReport.from_error(result.unwrap_err())
            return
        last = result.unwrap()
        for item in last.objects:
            version = item.to_stored_object().version
            if version > versions.get(item.key, 0):
                versions[item.key] = version
                yield _build_change(item)


def _build_change(item: PlatformObject) -> Change:
    note = item.note
    return Change(
        item.key, item.version, item.is_deleted, note.editor, note.time, note.changed
    )


def _list_endpoints(
    objects: Iterable[PlatformObject], metrics_port: int
) -> tuple[str, ...]:
    endpoints = []
    for item in objects:
        if not item.key.startswith(ANNOUNCEMENT_PREFIXES):
            continue
        try:
            body = json.loads(item.body)
            default = METRICS_PORTS[item.key.partition("/")[0] + "/"]
            endpoints.append(f"{body['host']}:{metrics_port or default}")
        except (ValueError, KeyError, TypeError, AttributeError):
            continue
    return tuple(endpoints)


def _read_node(
    endpoint: str, fetch: Callable[[str], object]
) -> Result[NodeStatus, StepError]:
    try:
        return Ok(cattrs.structure(fetch(endpoint), NodeStatus))
    except (requests.RequestException, OSError) as error:
        return Err(StepError("read status", endpoint, type(error).__name__))
    except (ValueError, TypeError, KeyError, cattrs.BaseValidationError):
        return Err(StepError("read status", endpoint, "malformed status"))


def _find_version_lags(
    objects: Iterable[PlatformObject], nodes: Iterable[NodeStatus]
) -> tuple[VersionLag, ...]:
    newest = {
        item.key: item.to_stored_object().version
        for item in objects
        if not item.key.startswith(ANNOUNCEMENT_PREFIXES)
    }
    nodes = tuple(nodes)
    for node in nodes:
        for key, version in node.versions.items():
            if not key.startswith(ANNOUNCEMENT_PREFIXES):
                newest[key] = max(version, newest.get(key, 0))
    return tuple(_build_version_lag(key, newest[key], nodes) for key in sorted(newest))


def _build_version_lag(
    key: str, version: int, nodes: Iterable[NodeStatus]
) -> VersionLag:
    # Agents hold only the objects that they need, so a missing key is not a lag.
    held = {node.node: node.versions[key] for node in nodes if key in node.versions}
    behind = {node: old for node, old in held.items() if old < version}
    return VersionLag(key, version, len(held) - len(behind), behind)
