"""Transfer of the ledger to a restarted agent of the same incarnation."""

import random

import attrs
from cattrs.preconf.json import make_converter
from result import Err, Ok, Result

from bramleystair.errors import StepError
from bramleystair.requests._entries import Entry, State
from bramleystair.requests._ledger import RequestLedger
from bramleystair.requests._settings import LedgerSettings
from bramleystair.requests._tickets import Key

FORMAT = 1
_converter = make_converter()


@attrs.frozen
class _KeptEntry:
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
    entries: list[_KeptEntry]


def export_ledger(ledger: RequestLedger, max_response_bytes: int = 8 * 2**20) -> bytes:
    """Return the ledger's state for its successor on the same VM.

    The clock of the successor must continue that of this agent. Requests that still
    run have an unknown outcome afterwards, so drain first.

    Parameters
    ----------
    ledger : RequestLedger
        Ledger of an agent that handles no more events.
    max_response_bytes : int
        Most bytes of responses to include; others can't be fetched afterwards.
    """
    left_bytes = max_response_bytes
    kept = []
    for nonce, until_s, entry in sorted(ledger.entries.list_all(), reverse=True):
        left_bytes -= len(entry.body)
        kept.append(_KeptEntry(nonce, until_s, _prepare(entry, left_bytes >= 0)))
    export = _Export(
        FORMAT,
        ledger.server,
        ledger.incarnation,
        ledger.admission.warm_limit.started_s,
        ledger.keys.list_keys(),
        kept,
    )
    return _converter.dumps(export).encode()


def import_ledger(
    data: bytes, settings: LedgerSettings, source: random.Random
) -> Result[RequestLedger, StepError]:
    """Return the ledger whose state is `data`."""
    step = "import ledger"
    try:
        export = _converter.loads(data, _Export)
    except Exception as error:
        # The kinds of error depend on where the data is malformed.
        return Err(StepError(step, "", f"malformed: {type(error).__name__}"))
    if export.form != FORMAT:
        detail = f"format {export.form}, only {FORMAT} is allowed"
        return Err(StepError(step, export.server, detail))
    ledger = RequestLedger(export.server, export.incarnation, settings, source)
    ledger.keys.set_keys(export.keys)
    ledger.admission.warm_limit.started_s = export.warm_since_s
    for kept in export.entries:
        ledger.entries.add(kept.nonce, kept.entry, kept.until_s)
        if kept.entry.body:
            ledger.entries.keep_response(kept.nonce, kept.entry)
    return Ok(ledger)


def _prepare(entry: Entry, is_body_kept: bool) -> Entry:
    entry = attrs.evolve(entry, waiters=(), is_at_backend=False)
    if entry.state is State.RUNNING:
        return attrs.evolve(entry, state=State.DONE, reason="agent_restarted")
    if entry.body and not is_body_kept:
        return attrs.evolve(entry, body=b"", reason="response_dropped")
    return entry
