"""Parsing of JSON documents, and checks of the values of other writers."""

import json
import re
from typing import Any, NoReturn

import attrs

# Exceptions that decoders raise for content of other writers.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
)
MAX_NUMBER = 2**63 - 1
MAX_PORT = 65_535
# Deeper values are not read: comparing or encoding them recurses as deep.
MAX_DEPTH = 32
# Memory of parsed values in bytes: a character beyond the basic plane, an object with
# its first field, an array, and a further field, element or string.
MAX_CHARACTER_BYTES = 4
OBJECT_BYTES = 240
ARRAY_BYTES = 88
PART_BYTES = 136
# A string that does not end is one token: each quote in it would be tried otherwise.
_TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)|[\[{]+|[\]}]+|[,:]', re.DOTALL
)
_OPENING, _CLOSING = b"[{", b"]}"


@attrs.frozen
class Document:
    """Parsed document.

    Parameters
    ----------
    value : object
        Content, with None in place of the parts that cannot be read.
    errors : tuple of str
        Reasons why parts cannot be read.
    """

    value: Any
    errors: tuple[str, ...] = ()


def load_document(data: bytes, levels: int) -> Document:
    """Parse JSON whose arrays and objects may have parts that cannot be read.

    Parameters
    ----------
    levels : int
        Number of nested levels down to which parts are read one by one if the whole
        cannot be read.

    Raises
    ------
    ValueError
        If nothing of the document can be read.
    """
    errors: list[str] = []
    value = _load(data, levels, errors)
    if value is None and errors:
        raise ValueError(errors[-1])
    return Document(value, tuple(errors))


def estimate_memory(text: bytes) -> int:
    """Return an upper estimate of the memory in bytes that parsed JSON takes.

    Empty arrays and objects take the most memory for their text. Brackets and commas in
    strings count as well.
    """
    is_narrow = text.isascii() and b"\\u" not in text
    return (
        len(text) * (1 if is_narrow else MAX_CHARACTER_BYTES)
        + OBJECT_BYTES * text.count(b"{")
        + ARRAY_BYTES * text.count(b"[")
        + PART_BYTES * text.count(b",")
    )


def read_int(value: Any, name: str, lowest: int = 0, highest: int = MAX_NUMBER) -> int:
    """Return an integer in the given range; raise TypeError or ValueError otherwise."""
    if type(value) is not int:
        raise TypeError(f"{name} is not an integer")
    if not lowest <= value <= highest:
        raise ValueError(f"{name} is not in {lowest} to {highest}")
    return value


def read_float(value: Any, name: str) -> float:
    """Return a finite number of at least 0; raise TypeError or ValueError otherwise."""
    if type(value) not in (int, float):
        raise TypeError(f"{name} is not a number")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is not in 0 to {MAX_NUMBER}")
    return float(value)


def read_text(value: Any, name: str) -> str:
    """Return a string that has a UTF-8 encoding; raise TypeError or ValueError."""
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a string")
    # JSON has escapes of single surrogates, which have no encoding.
    value.encode()
    return value


def is_too_deep(value: Any) -> bool:
    """Return whether arrays and objects are nested more than `MAX_DEPTH` levels."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [
            child
            for parent in level
            if isinstance(parent, dict | list)
            for child in (parent.values() if isinstance(parent, dict) else parent)
        ]
        if not level:
            return False
    return True


def _load(data: bytes, levels: int, errors: list[str]) -> Any:
    try:
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        reason = f"{type(error).__name__}: {error}"
    parts = _split(data) if levels else None
    if parts is None:
        errors.append(reason)
        return None
    if isinstance(parts, list):
        return [_load(part, levels - 1, errors) for part in parts]
    return {name: _load(part, levels - 1, errors) for name, part in parts.items()}


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not a number")


def _split(data: bytes) -> list[bytes] | dict[str, bytes] | None:
    """Return the parts of an array or object unparsed, or None for other text."""
    data = data.strip()
    if len(data) < 2 or data[:1] not in (b"[", b"{"):
        return None
    parts: list[bytes] = []
    names: list[bytes] = []
    depth, start = 0, 1
    for match in _TOKEN.finditer(data, 1):
        token = match[0]
        if token[0] in _OPENING:
            depth += len(token)
        elif token[0] in _CLOSING:
            if len(token) > depth:
                end = match.start() + depth
                break
            depth -= len(token)
        elif depth == 0 and token in (b",", b":"):
            (parts if token == b"," else names).append(data[start : match.start()])
            start = match.end()
    else:
        return None
    if data[start:end].strip():
        parts.append(data[start:end])
    if data[:1] == b"[":
        return None if names else parts
    if len(names) != len(parts):
        return None
    try:
        return {str(json.loads(n)): part for n, part in zip(names, parts, strict=True)}
    except (ValueError, RecursionError):
        return None
