"""Which objects of other writers a node keeps, and how much memory they may take.

Any writer may leave any number of objects of any size in the store. Of these, a node
keeps the names and the content that it can use, up to a limit for each class.
"""

import sys
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from bramleystair.mirror._types import StoredItem

# Memory of an object besides its content: its name, revision and places in dicts, and
# the state of the member that it describes.
ITEM_BYTES = 1_024
UNLIMITED_BYTES = sys.maxsize
# Objects of a class that are kept although their content cannot be used, besides those
# that are known.
MAX_UNUSABLE = 1024
# Bounds of the text that an operator reads about an object.
MAX_DETAIL_CHARACTERS = 200
MAX_LISTED_NAMES = 20


def _return_content(name: str, content: Any) -> Any:
    return content


@attrs.frozen(kw_only=True)
class ObjectClass:
    """Objects of one kind that a node uses in the same way.

    Parameters
    ----------
    accepts : callable
        Returns whether an object belongs to the class, by its name.
    decode : callable
        Called with the name and the parsed content; returns the content to keep, or
        raises one of `DECODE_ERRORS` if the node cannot use it.
    uses_content : bool
        Whether the content is parsed; otherwise, the name says all.
    max_text_bytes : int
        Longest content that is parsed.
    max_parsed_bytes : int
        Largest estimate of the memory that the parsed content takes, see
        `documents.estimate_memory`.
    max_memory_bytes : int
        Memory of all objects of the class in one copy.
    memory_factor : int
        Memory that a node spends on the content, including what it derives from it, as
        a multiple of that of the content alone.
    """

    accepts: Callable[[str], bool] = lambda name: True
    decode: Callable[[str, Any], Any] = _return_content
    uses_content: bool = True
    max_text_bytes: int = UNLIMITED_BYTES
    max_parsed_bytes: int = UNLIMITED_BYTES
    max_memory_bytes: int = UNLIMITED_BYTES
    memory_factor: int = 1

    def measure(self, name: str, content: Any) -> int:
        """Return the memory in bytes that an object takes while it is kept."""
        if self.max_memory_bytes == UNLIMITED_BYTES:
            return 0
        size = _measure(content)
        return ITEM_BYTES + sys.getsizeof(name) + self.memory_factor * size


ANY_OBJECT = (ObjectClass(),)


def find_class(classes: Iterable[ObjectClass], name: str) -> ObjectClass | None:
    """Return the class to which an object belongs, or None if it is not kept."""
    return next((each for each in classes if each.accepts(name)), None)


def limit_items(
    items: dict[str, StoredItem],
    classes: Iterable[ObjectClass],
    rank: Callable[[StoredItem], Any],
) -> dict[str, StoredItem]:
    """Return the items that fit into the limits of their classes.

    Parameters
    ----------
    rank : callable
        Returns a sort key; items with the lowest keys are kept first. The first part of
        the key is False for objects that are known, which are kept even if their
        content cannot be used.
    """
    if not _exceeds_limits(items, classes):
        return items
    used: Counter[ObjectClass] = Counter()
    unusable: Counter[ObjectClass] = Counter()
    kept: set[str] = set()
    for item in sorted(items.values(), key=rank):
        found = find_class(classes, item.name)
        if found is None or used[found] + item.memory_bytes > found.max_memory_bytes:
            continue
        if item.problem and rank(item)[0]:
            unusable[found] += 1
            if unusable[found] > MAX_UNUSABLE:
                continue
        used[found] += item.memory_bytes
        kept.add(item.name)
    return {name: item for name, item in items.items() if name in kept}


def _exceeds_limits(
    items: dict[str, StoredItem], classes: Iterable[ObjectClass]
) -> bool:
    unusable = sum(bool(item.problem) for item in items.values())
    total = sum(item.memory_bytes for item in items.values())
    limits = [each.max_memory_bytes for each in classes]
    if unusable <= MAX_UNUSABLE and total <= min(limits, default=0):
        return False
    used: Counter[ObjectClass | None] = Counter()
    for item in items.values():
        used[find_class(classes, item.name)] += item.memory_bytes
    return unusable > MAX_UNUSABLE or any(
        found is None or size > found.max_memory_bytes for found, size in used.items()
    )


def abbreviate_names(names: Iterable[str]) -> list[str]:
    """Return the first names in order, for a log line of limited length."""
    return [name[:MAX_DETAIL_CHARACTERS] for name in sorted(names)[:MAX_LISTED_NAMES]]


def _measure(content: Any) -> int:
    """Return the memory of a parsed value in bytes; shared strings count each time."""
    size, pending = 0, [content]
    while pending:
        value = pending.pop()
        size += sys.getsizeof(value)
        if isinstance(value, dict):
            pending += value.keys()
            pending += value.values()
        elif isinstance(value, list):
            pending += value
    return size
