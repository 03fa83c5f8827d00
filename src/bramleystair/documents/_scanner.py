"""Search for the end of a JSON value without parsing it.

The values may be of any size and nesting, and need not be valid: only strings and
brackets are told apart. Time is linear in the length of the text, whatever it contains,
and memory is that of one block.
"""

import re
from array import array
from itertools import accumulate

# Block sizes in bytes. The first one exceeds most values; larger ones take less time
# per byte, and the largest bounds the search for the bracket that ends a value.
FIRST_BLOCK_BYTES = 256
LAST_BLOCK_BYTES = 16_384
# Rounds in which adjacent pairs of brackets are removed. Most text has few levels, so
# that few brackets remain.
PAIR_ROUNDS = 3
_OPENING, _CLOSING = b"[{", b"]}"
# Steps of the depth as signed bytes.
_UP, _DOWN = b"\x01", b"\xff"
_STEPS = bytes.maketrans(_OPENING + _CLOSING, 2 * _UP + 2 * _DOWN)
_NO_BRACKETS = bytes(set(range(256)) - set(_OPENING + _CLOSING))
_TOKEN = re.compile(rb'\\.|["\[\]{}]', re.DOTALL)
_STRING_BODY = re.compile(rb'[^"\\]*+(?:\\.[^"\\]*+)*+', re.DOTALL)
_SCALAR_BODY = re.compile(rb'[^,:\[\]{}" \t\r\n]*+')


class ValueScanner:
    """Find the end of one value in text that arrives in pieces.

    Parameters
    ----------
    first : bytes
        First byte of the value, which tells its type.
    """

    def __init__(self, first: bytes) -> None:
        self._is_container = first in (b"[", b"{")
        self._is_string = first == b'"'
        self._depth = 0
        self._is_in_string = False
        self._is_escaped = False
        self._block_bytes = FIRST_BLOCK_BYTES
        self.has_ended = False

    def scan(self, data: bytes, start: int) -> int:
        """Return the position up to which `data` belongs to the value.

        `has_ended` tells whether the value ends there, or goes on in the next piece.
        """
        if start == len(data):
            return start
        if self._is_container:
            return self._scan_container(data, start)
        if self._is_string:
            return self._scan_string(data, start)
        end = _SCALAR_BODY.match(data, start).end()
        self.has_ended = end < len(data)
        return end

    def _scan_string(self, data: bytes, start: int) -> int:
        if not self._is_in_string:
            self._is_in_string = True
            start += 1
        if self._is_escaped and start < len(data):
            self._is_escaped = False
            start += 1
        end = _STRING_BODY.match(data, start).end()
        if end == len(data):
            return end
        # Either the closing quote, or a backslash at the end of the piece.
        self._is_escaped = data[end : end + 1] == b"\\"
        self.has_ended = not self._is_escaped
        return end + 1

    def _scan_container(self, data: bytes, start: int) -> int:
        # Grows until a block contains the end, then shrinks to the part that does.
        factor = 2
        while start < len(data):
            block = data[start : start + self._block_bytes]
            steps, is_in_string, is_escaped = self._list_steps(block)
            if self._ends_within(steps):
                if len(block) <= FIRST_BLOCK_BYTES:
                    self.has_ended = True
                    return start + self._find_end(block)
                self._block_bytes, factor = len(block) // 2, 1
                continue
            self._block_bytes = min(factor * self._block_bytes, LAST_BLOCK_BYTES)
            self._depth += len(steps) - 2 * steps.count(_DOWN)
            self._is_in_string, self._is_escaped = is_in_string, is_escaped
            start += len(block)
        return start

    def _list_steps(self, block: bytes) -> tuple[bytes, bool, bool]:
        """Return the steps of the depth in a block, and the state at its end."""
        text = block[1:] if self._is_escaped else block
        is_escaped = False
        if b"\\" in text:
            # In this order, since a backslash may itself be escaped.
            text = text.replace(b"\\\\", b"").replace(b'\\"', b"")
            is_escaped = text.endswith(b"\\")
        parts = text.split(b'"')
        is_in_string = self._is_in_string ^ (len(parts) % 2 == 0)
        outside = b"".join(parts[self._is_in_string :: 2])
        return outside.translate(_STEPS, _NO_BRACKETS), is_in_string, is_escaped

    def _ends_within(self, steps: bytes) -> bool:
        """Return whether the depth falls to 0."""
        is_start = self._depth == 0
        for _ in range(PAIR_ROUNDS):
            if not is_start and steps.count(_DOWN) < self._depth:
                return False
            if is_start or _UP + _DOWN not in steps:
                break
            # A pair of brackets inside the value neither ends it nor changes the depth.
            steps = steps.replace(_UP + _DOWN, b"")
        depths = accumulate(array("b", steps), initial=self._depth)
        if is_start:
            next(depths)
        return min(depths, default=1) <= 0

    def _find_end(self, block: bytes) -> int:
        """Return the position behind the bracket with which the depth falls to 0."""
        depth, is_in_string = self._depth, self._is_in_string
        for match in _TOKEN.finditer(block, int(self._is_escaped)):
            token = match[0]
            if token == b'"':
                is_in_string = not is_in_string
            elif not is_in_string and len(token) == 1:
                depth += 1 if token in _OPENING else -1
                if depth == 0:
                    return match.end()
        raise AssertionError("the value does not end in this block")
