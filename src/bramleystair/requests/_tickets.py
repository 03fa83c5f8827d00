"""Tickets, which bind a request to one incarnation of one agent."""

import base64
import binascii
import enum
import hashlib
import hmac
import random
import struct

import attrs
from result import Err, Ok, Result

# Format version, key number, service ID, incarnation, expiry in ms, nonce, length of
# the server name.
_HEADER = struct.Struct(">BHQQQ12sB")
FORMAT_VERSION = 1
MAC_BYTES = 16
KEY_BYTES = 32
NONCE_BYTES = 12
MAX_KEY_NUMBER = 0xFFFF


class TicketError(enum.StrEnum):
    """Reason why a ticket is rejected."""

    MALFORMED = "malformed"
    FORGED = "forged"
    WRONG_AGENT = "wrong_agent"
    INCARNATION_GONE = "incarnation_gone"
    KEY_GONE = "key_gone"


@attrs.frozen
class Ticket:
    """Contents of a ticket.

    Parameters
    ----------
    service_id : int
        Service of the request.
    server : str
        Backend server whose agent issued the ticket.
    incarnation : int
        Incarnation of that agent.
    expiry_ms : int
        Time after which the request must not start, on the agent's clock.
    nonce : bytes, shape (12,)
        Random identifier of the request.
    key_number : int
        Number of the key that authenticates the ticket.
    """

    service_id: int
    server: str
    incarnation: int
    expiry_ms: int
    nonce: bytes
    key_number: int

    @property
    def expiry_s(self) -> float:
        """Return the expiry in seconds on the agent's clock."""
        return self.expiry_ms / 1000

    @property
    def request_name(self) -> str:
        """Return the identifier of the request at the backend server."""
        return self.nonce.hex()


@attrs.frozen
class Key:
    """Secret key that authenticates tickets."""

    number: int
    secret: bytes
    created_s: float


class KeyRing:
    """Ticket keys of one agent, newest first.

    Parameters
    ----------
    server : str
        Backend server whose agent owns the keys.
    incarnation : int
        Incarnation of the agent.
    rng : random.Random
        Generator of keys and nonces; `random.SystemRandom` outside tests.
    """

    def __init__(self, server: str, incarnation: int, rng: random.Random) -> None:
        self.server = server
        self.incarnation = incarnation
        self._rng = rng
        self._keys: list[Key] = []

    def rotate(self, now: float, period_s: float, retention_s: float) -> None:
        """Add a key when the newest is `period_s` old; drop expired keys.

        A key is retained for `retention_s` after the creation of its successor. This
        must cover the lifetime of a ticket plus the retention of its ledger entry.
        """
        if not self._keys or now - self._keys[0].created_s >= period_s:
            number = (self._keys[0].number + 1) & MAX_KEY_NUMBER if self._keys else 1
            secret = self._rng.randbytes(KEY_BYTES)
            self._keys.insert(0, Key(number, secret, now))
        successors = zip(self._keys, self._keys[1:], strict=False)
        kept = [key for newer, key in successors if now - newer.created_s < retention_s]
        self._keys = [self._keys[0], *kept]

    def list_keys(self) -> list[Key]:
        """Return the keys, newest first."""
        return list(self._keys)

    def set_keys(self, keys: list[Key]) -> None:
        """Replace the keys by those exported from the same incarnation."""
        self._keys = list(keys)

    def issue(self, service_id: int, expiry_s: float) -> bytes:
        """Return a new ticket that expires at `expiry_s` on the agent's clock."""
        key = self._keys[0]
        server_name = self.server.encode()
        header = _HEADER.pack(
            FORMAT_VERSION,
            key.number,
            service_id,
            self.incarnation,
            int(expiry_s * 1000),
            self._rng.randbytes(NONCE_BYTES),
            len(server_name),
        )
        signed = header + server_name
        return signed + _compute_mac(key.secret, signed)

    def verify(self, data: bytes) -> Result[Ticket, TicketError]:
        """Return the contents of the ticket `data` if one of these keys issued it."""
        parsed = parse_ticket(data)
        if parsed.is_err():
            return parsed
        ticket = parsed.ok()
        if ticket.server != self.server:
            return Err(TicketError.WRONG_AGENT)
        if ticket.incarnation != self.incarnation:
            return Err(TicketError.INCARNATION_GONE)
        for key in self._keys:
            if key.number == ticket.key_number:
                return _check_mac(key.secret, data, ticket)
        return Err(TicketError.KEY_GONE)


def parse_ticket(data: bytes) -> Result[Ticket, TicketError]:
    """Return the contents of the ticket `data` without authenticating it."""
    if len(data) < _HEADER.size + MAC_BYTES:
        return Err(TicketError.MALFORMED)
    format_version, key, service_id, incarnation, expiry, nonce, size = (
        _HEADER.unpack_from(data)
    )
    if format_version != FORMAT_VERSION or len(data) != _HEADER.size + size + MAC_BYTES:
        return Err(TicketError.MALFORMED)
    try:
        server = data[_HEADER.size : _HEADER.size + size].decode()
    except UnicodeDecodeError:
        return Err(TicketError.MALFORMED)
    return Ok(Ticket(service_id, server, incarnation, expiry, nonce, key))


def encode_ticket(data: bytes) -> str:
    """Return the ticket `data` in the text form used in request URLs."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode_ticket(text: str) -> Result[bytes, TicketError]:
    """Return the ticket that is encoded as `text`."""
    try:
        data = base64.b64decode(
            text.encode("ascii") + b"=" * (-len(text) % 4),
            altchars=b"-_",
            validate=True,
        )
    except (binascii.Error, ValueError):
        return Err(TicketError.MALFORMED)
    return Ok(data)


def _compute_mac(secret: bytes, signed: bytes) -> bytes:
    return hmac.digest(secret, signed, hashlib.sha256)[:MAC_BYTES]


def _check_mac(
    secret: bytes, data: bytes, ticket: Ticket
) -> Result[Ticket, TicketError]:
    expected = _compute_mac(secret, data[:-MAC_BYTES])
    if not hmac.compare_digest(expected, data[-MAC_BYTES:]):
        return Err(TicketError.FORGED)
    return Ok(ticket)
