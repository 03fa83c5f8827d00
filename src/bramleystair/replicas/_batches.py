"""Splitting of lists into batches that fit into a datagram."""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from bramleystair.wire import StoredObject, VersionHeader

Item = TypeVar("Item")

# Size of the Cap'n Proto struct, pointers and padding of one list element.
OBJECT_OVERHEAD_BYTES = 56
HEADER_OVERHEAD_BYTES = 32
KEY_OVERHEAD_BYTES = 16
# Largest object that fits into a UDP datagram together with the envelope.
MAX_OBJECT_BYTES = 60_000


def measure_object(item: StoredObject) -> int:
    """Return an upper bound of the encoded size of `item` in bytes."""
    size = len(item.key.encode()) + len(item.nonce.encode()) + len(item.body)
    return size + OBJECT_OVERHEAD_BYTES


def measure_header(header: VersionHeader) -> int:
    """Return an upper bound of the encoded size of `header` in bytes."""
    return len(header.key.encode()) + HEADER_OVERHEAD_BYTES


def measure_key(key: str) -> int:
    """Return an upper bound of the encoded size of `key` in bytes."""
    return len(key.encode()) + KEY_OVERHEAD_BYTES


def split_batches(
    items: Iterable[Item], measure: Callable[[Item], int], limit: int
) -> Iterator[tuple[Item, ...]]:
    """Yield `items` in batches of at most `limit` bytes.

    An item larger than `limit` is yielded in a batch of its own.
    """
    batch: list[Item] = []
    size = 0
    for item in items:
        item_size = measure(item)
        if batch and size + item_size > limit:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(item)
        size += item_size
    if batch:
        yield tuple(batch)
