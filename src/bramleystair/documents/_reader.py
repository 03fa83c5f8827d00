"""Reader of the parts of a JSON document that a schema names, piece by piece."""

import json
import re
from collections.abc import Callable, Generator, Mapping
from typing import Any

import attrs

from bramleystair.documents._scanner import ValueScanner

# Longest name of a field that is compared with the schema.
MAX_NAME_BYTES = 256
# Elements up to this length are parsed as a whole, which is faster.
SHORT_ELEMENT_BYTES = 4_096
_CONTAINERS = (b"[", b"{")
_SPACE = re.compile(rb"[ \t\r\n]*+")


@attrs.frozen
class Leaf:
    """Value that is returned as text.

    Parameters
    ----------
    max_bytes : int
        Longest text that is kept.
    """

    max_bytes: int


@attrs.frozen
class Fields:
    """Object, of which only the fields named here are read."""

    schemas: Mapping[str, "Schema"]


@attrs.frozen
class Row:
    """Array with one value for each schema; further ones are not read."""

    schemas: tuple["Schema", ...]


@attrs.frozen
class Elements:
    """Array whose elements are passed on one by one and not kept.

    Parameters
    ----------
    on_element : callable
        Called with each element: a short one as a parsed value, others as they are read
        according to `schema`.
    """

    schema: "Schema"
    on_element: Callable[[Any], None]


Schema = Leaf | Fields | Row | Elements


@attrs.frozen
class LeafText:
    """Text of a leaf.

    Parameters
    ----------
    text : bytes or None
        None if it is longer than the schema permits.
    size : int
        Length of the text in bytes.
    """

    text: bytes | None
    size: int

    def load(self) -> Any:
        """Return the parsed value.

        Raises
        ------
        ValueError
            If the text was too long or is not JSON.
        RecursionError
            If it is nested too deeply.
        """
        if self.text is None:
            raise ValueError(f"text of {self.size} bytes is too long")
        return json.loads(self.text, parse_constant=_refuse_constant)


_SKIPPED = Leaf(0)


class DocumentReader:
    """Read a document as it arrives, in memory that the schema bounds.

    The memory is that of one piece and one element; the time is linear in the length of
    the document, whatever it contains.

    Parameters
    ----------
    schema : Schema
        Parts to read.
    """

    def __init__(self, schema: Schema) -> None:
        self._data = b""
        self._position = 0
        self._value: Any = None
        self._is_complete = False
        self._steps = self._read_document(schema)
        next(self._steps)

    def feed(self, data: bytes) -> None:
        """Read the next piece of the document.

        Raises
        ------
        ValueError
            If it is not JSON outside the parts that are leaves.
        """
        if not data:
            return
        try:
            self._steps.send(data)
        except StopIteration:
            raise ValueError("text after the end of the document") from None

    def finish(self) -> Any:
        """Return the value that was read.

        Fields are a dict, rows a list with None for what is missing, leaves a LeafText,
        and elements their number. A value of another type than its schema is None.

        Raises
        ------
        ValueError
            If the document is not complete.
        """
        if not self._is_complete:
            raise ValueError("the document is not complete")
        return self._value

    def _read_document(self, schema: Schema) -> Generator[None, bytes, None]:
        self._data = yield
        value = yield from self._read_value(schema)
        self._value, self._is_complete = value, True
        while True:
            self._position = _SPACE.match(self._data, self._position).end()
            if self._position < len(self._data):
                raise ValueError("text after the end of the document")
            yield from self._receive()

    def _receive(self) -> Generator[None, bytes, None]:
        self._data = yield
        self._position = 0

    def _peek(self) -> Generator[None, bytes, bytes]:
        """Return the next byte that is not white space, without consuming it."""
        while True:
            self._position = _SPACE.match(self._data, self._position).end()
            if self._position < len(self._data):
                return self._data[self._position : self._position + 1]
            yield from self._receive()

    def _consume(self, expected: bytes) -> Generator[None, bytes, None]:
        found = yield from self._peek()
        if found != expected:
            raise ValueError(f"{found!r} instead of {expected!r}")
        self._position += 1

    def _read_value(self, schema: Schema) -> Generator[None, bytes, Any]:
        first = yield from self._peek()
        match schema:
            case Leaf(max_bytes):
                return (yield from self._read_leaf(max_bytes))
            case Fields(schemas) if first == b"{":
                return (yield from self._read_fields(schemas))
            case Row(schemas) if first == b"[":
                return (yield from self._read_row(schemas))
            case Elements() if first == b"[":
                return (yield from self._read_elements(schema))
        yield from self._read_leaf(0)
        return None

    def _read_leaf(self, max_bytes: int) -> Generator[None, bytes, LeafText]:
        first = yield from self._peek()
        scanner = ValueScanner(first)
        pieces, size = [], 0
        while True:
            start = self._position
            self._position = scanner.scan(self._data, start)
            size += self._position - start
            if size <= max_bytes:
                pieces.append(self._data[start : self._position])
            else:
                pieces.clear()
            if scanner.has_ended:
                break
            yield from self._receive()
        if size == 0:
            raise ValueError(f"{first!r} instead of a value")
        return LeafText(b"".join(pieces) if size <= max_bytes else None, size)

    def _read_fields(
        self, schemas: Mapping[str, Schema]
    ) -> Generator[None, bytes, dict[str, Any]]:
        values: dict[str, Any] = {}
        yield from self._consume(b"{")
        if (yield from self._peek()) == b"}":
            self._position += 1
            return values
        while True:
            name = yield from self._read_name()
            yield from self._consume(b":")
            schema = None if name is None else schemas.get(name)
            value = yield from self._read_value(schema or _SKIPPED)
            if schema is not None:
                values[name] = value
            if not (yield from self._has_next(b"}")):
                return values

    def _read_name(self) -> Generator[None, bytes, str | None]:
        if (yield from self._peek()) != b'"':
            raise ValueError("an object has a name that is not a string")
        leaf = yield from self._read_leaf(MAX_NAME_BYTES)
        return None if leaf.text is None else leaf.load()

    def _read_row(
        self, schemas: tuple[Schema, ...]
    ) -> Generator[None, bytes, list[Any]]:
        values: list[Any] = []
        yield from self._consume(b"[")
        if (yield from self._peek()) == b"]":
            self._position += 1
            return [None] * len(schemas)
        count = 0
        while True:
            schema = schemas[count] if count < len(schemas) else _SKIPPED
            value = yield from self._read_value(schema)
            if count < len(schemas):
                values.append(value)
            count += 1
            if not (yield from self._has_next(b"]")):
                return values + [None] * (len(schemas) - len(values))

    def _read_elements(self, schema: Elements) -> Generator[None, bytes, int]:
        count = 0
        yield from self._consume(b"[")
        if (yield from self._peek()) == b"]":
            self._position += 1
            return count
        while True:
            element = self._load_short_element()
            if element is None:
                element = yield from self._read_value(schema.schema)
            schema.on_element(element)
            count += 1
            if not (yield from self._has_next(b"]")):
                return count

    def _load_short_element(self) -> Any:
        """Return an element that is short and has arrived as a whole, or None."""
        self._position = _SPACE.match(self._data, self._position).end()
        start = self._position
        window = self._data[start : start + SHORT_ELEMENT_BYTES]
        scanner = ValueScanner(window[:1])
        end = scanner.scan(window, 0)
        if not scanner.has_ended or window[:1] not in _CONTAINERS:
            return None
        try:
            element = json.loads(window[:end], parse_constant=_refuse_constant)
        except (ValueError, RecursionError):
            # Read again part by part, so that only the odd part is lost.
            return None
        self._position = start + end
        return element

    def _has_next(self, closing: bytes) -> Generator[None, bytes, bool]:
        """Consume the separator of the next part, or the end of the parts."""
        found = yield from self._peek()
        if found not in (b",", closing):
            raise ValueError(f"{found!r} between two parts")
        self._position += 1
        return found == b","


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not a number")
