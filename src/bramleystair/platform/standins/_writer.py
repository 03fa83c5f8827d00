"""Calls of the operator and of other writers to the store, and to agents."""

import http.client
import json
import time
from typing import Any
from urllib.parse import quote

from bramleystair.logs import get_logger
from bramleystair.platform._heartbeats import DEREGISTER_PATH, HEARTBEAT_PATH
from bramleystair.platform._store import OBJECTS_PATH
from bramleystair.platform.standins._store import CONTROL_PATH

log = get_logger("writer")

Address = tuple[str, int]

CALL_TIMEOUT_S = 2.5
RETRY_DELAY_S = 0.05
RETRY_LIMIT_S = 30.0
NOT_FOUND = 404


class StoreWriter:
    """Write objects at the stand-in for the store, whoever else writes them.

    Parameters
    ----------
    address : tuple of str and int
        Address of the store.
    """

    def __init__(self, address: Address) -> None:
        self._address = address

    def read(self, kind: str) -> dict[str, Any]:
        """Return the contents of all objects of a kind by name."""
        contents: dict[str, Any] = {}
        query = ""
        while True:
            _, document = self._call("GET", f"{OBJECTS_PATH}{kind}{query}")
            contents |= {i["meta"]["Name"]: i["spec"] for i in document["items"]}
            if not document["HasMore"]:
                return contents
            query = f"?after={quote(max(contents))}"

    def write(self, kind: str, name: str, value: Any) -> None:
        """Create or replace an object, whatever its revision."""
        path = OBJECTS_PATH + kind
        document = {"meta": {"Name": name}, "spec": value}
        status, _ = self._call("PUT", f"{path}/{name}", document)
        if status == NOT_FOUND:
            self._call("POST", path, document)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        self._call("DELETE", f"{OBJECTS_PATH}{kind}/{name}")

    def restore(self, age_s: float, away_s: float) -> None:
        """Let the store return to its state of `age_s` ago after `away_s`."""
        self._call("POST", CONTROL_PATH, {"age_s": age_s, "away_s": away_s})

    def lose_responses(self, seconds: float, kind: str) -> None:
        """Let the store execute calls for a kind without a response for a time."""
        self._call("POST", CONTROL_PATH, {"lose_s": seconds, "kind": kind})

    def _call(self, method: str, path: str, document: Any = None) -> tuple[int, Any]:
        """Repeat a call until it gets a response; return its status and body."""
        deadline_s = time.monotonic() + RETRY_LIMIT_S
        body = b"" if document is None else json.dumps(document).encode()
        while True:
            try:
                return _call_once(self._address, method, path, body)
            except (OSError, http.client.HTTPException) as error:
                # Expected while the store is away, paused or loses responses; a longer
                # failure ends the run.
                if time.monotonic() > deadline_s:
                    raise
                log.debug("%s %s: no response (%r), retrying", method, path, error)
                time.sleep(RETRY_DELAY_S)


def post_report(control: Address, server: str, body: bytes) -> None:
    """Send a report of a server to the agent that listens at `control`."""
    _post_once(control, HEARTBEAT_PATH + server, body)


def post_deregistration(control: Address, server: str, body: bytes) -> None:
    """Send the shutdown report of a server to the agent that listens at `control`."""
    _post_once(control, DEREGISTER_PATH + server, body)


def post_control(address: Address, values: dict[str, Any]) -> None:
    """Send a control call to a stand-in that may not be running."""
    _post_once(address, CONTROL_PATH, json.dumps(values).encode())


def _post_once(address: Address, path: str, body: bytes) -> None:
    try:
        _call_once(address, "POST", path, body)
    except (OSError, http.client.HTTPException) as error:
        log.debug("POST %s: no response (%r)", path, error)


def _call_once(
    address: Address, method: str, path: str, body: bytes
) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()
