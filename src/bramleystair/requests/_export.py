"""Transfer of the request ledger to a restarted agent of the same incarnation."""

import random

import attrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.requests._entries import Entry, State
from bramleystair.requests._ledger import RequestLedger
from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import Key

FORMAT_VERSION = 1
_converter = make_converter()


@attrs.frozen
class _ExportedEntry:
    nonce: bytes
    until_s: float
    entry: Entry


@attrs.frozen
class _Export:
    form: int
    server: str
    incarnation: int
    warm_since_s: float | None
    keys: list[Key]
    entries: list[_ExportedEntry]


def export_ledger(ledger: RequestLedger, max_response_bytes: int = 8 * 2**20) -> bytes:
    """Serialise the ledger for the agent process that replaces this one on the same VM.

    The new process must use the same clock. Requests that still run have an unknown
    outcome afterwards, so drain the agent first.

    Parameters
    ----------
    ledger : RequestLedger
        Ledger that handles no further events.
    max_response_bytes : int
        Maximum total size of responses to include, newest first; the others can no
        longer be fetched.
    """
    remaining_bytes = max_response_bytes
    exported = []
    for nonce, until_s, entry in sorted(ledger.entries.list_all(), reverse=True):
        remaining_bytes -= len(entry.body)
        exported.append(
            _ExportedEntry(nonce, until_s, _prepare_entry(entry, remaining_bytes >= 0))
        )
    export = _Export(
        FORMAT_VERSION,
        ledger.server,
        ledger.incarnation,
        ledger.admission.warm_up_limit.started_s,
        ledger.keys.list_keys(),
        exported,
    )
    return _converter.dumps(export).encode()


def import_ledger(
    data: bytes, settings: LedgerSettings, rng: random.Random
) -> Result[RequestLedger, StepError]:
    """Restore a ledger from `data`, as returned by `export_ledger`."""
    step = "import ledger"
    try:
        export = _converter.loads(data, _Export)
    except Exception as error:
        # cattrs raises different exceptions depending on where the data is malformed.
        return Err(StepError(step, "", f"malformed: {type(error).__name__}"))
    if export.form != FORMAT_VERSION:
        detail = f"format {export.form}, only {FORMAT_VERSION} is allowed"
        return Err(StepError(step, export.server, detail))
    ledger = RequestLedger(export.server, export.incarnation, settings, rng)
    ledger.keys.set_keys(export.keys)
    ledger.admission.warm_up_limit.started_s = export.warm_since_s
    for exported in export.entries:
        ledger.entries.add(exported.nonce, exported.entry, exported.until_s)
        if exported.entry.body:
            ledger.entries.keep_response(exported.nonce, exported.entry)
    return Ok(ledger)


def _prepare_entry(entry: Entry, keeps_body: bool) -> Entry:
    entry = attrs.evolve(entry, waiters=(), is_at_backend=False)
    if entry.state is State.RUNNING:
        return attrs.evolve(entry, state=State.DONE, reason="agent_restarted")
    if entry.body and not keeps_body:
        return attrs.evolve(entry, body=b"", reason="response_dropped")
    return entry
