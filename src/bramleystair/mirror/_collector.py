"""Decoding of the objects in a response, in memory that their classes limit."""

from collections import Counter
from typing import Any

import attrs

from bramleystair.documents import (
    DECODE_ERRORS,
    LeafText,
    estimate_memory,
    is_too_deep,
)
from bramleystair.mirror._retention import (
    MAX_DETAIL_CHARACTERS,
    ObjectClass,
    find_class,
    limit_items,
)
from bramleystair.mirror._types import IgnoredObjects, StoredItem

# The limits are checked when this number of objects is reached, and then each time that
# their number has doubled.
FIRST_CHECK_ITEMS = 4_096


@attrs.frozen
class ObjectDecoder:
    """Decode the objects of one kind.

    Parameters
    ----------
    classes : tuple of ObjectClass
        Classes of the objects that are kept.
    """

    classes: tuple[ObjectClass, ...]

    @property
    def max_text_bytes(self) -> int:
        """Longest content that any class uses."""
        return max(
            (each.max_text_bytes for each in self.classes if each.uses_content),
            default=0,
        )

    def decode(self, name: str, revision: int, part: Any) -> StoredItem | None:
        """Return an object, or None if it belongs to no class.

        Parameters
        ----------
        part : object
            Its content, as a `BodyReader` passes it on.
        """
        found = find_class(self.classes, name)
        if found is None:
            return None
        content, problem = None, ""
        if found.uses_content:
            try:
                content = found.decode(name, _load_content(part, found))
            except DECODE_ERRORS as error:
                problem = repr(error)[:MAX_DETAIL_CHARACTERS]
        size = found.measure(name, content)
        return StoredItem(name, revision, content, problem, size)


@attrs.define
class ObjectCollector:
    """Collect the objects of a list, or the changes of a watch.

    Only the last change of an object is kept. Above the limits of a class, objects
    whose content can be used are kept first.

    Attributes
    ----------
    last_name : str
        Name of the last object that has one, also if it is not kept.
    """

    decoder: ObjectDecoder
    last_name: str = attrs.field(default="", init=False)
    _items: dict[str, StoredItem] = attrs.field(factory=dict, init=False)
    _deleted: set[str] = attrs.field(factory=set, init=False)
    _ignored: Counter[str] = attrs.field(factory=Counter, init=False)
    _example: str = attrs.field(default="", init=False)
    _next_check: int = attrs.field(default=FIRST_CHECK_ITEMS, init=False)

    def add(
        self, name: str, revision: int, part: Any, is_deleted: bool = False
    ) -> None:
        """Add an object with its content, as a `BodyReader` passes it on."""
        self.last_name = name
        item = self.decoder.decode(name, revision, part)
        if item is None:
            self.ignore("other_name", name)
            return
        # At the end, since the order is that of the changes.
        self._items.pop(name, None)
        self._items[name] = item
        self._deleted.discard(name)
        if is_deleted:
            self._deleted.add(name)
        if len(self._items) >= self._next_check:
            self._limit()

    def ignore(self, reason: str, example: str) -> None:
        """Record an object that is not kept; see `IgnoredObjects` for the reasons."""
        self._ignored[reason] += 1
        self._example = example[:MAX_DETAIL_CHARACTERS]

    def take_items(self) -> dict[str, StoredItem]:
        """Return the objects by name, in the order of their last changes."""
        self._limit()
        return self._items

    def take_events(self) -> tuple[tuple[StoredItem, bool], ...]:
        """Return the objects with whether they were deleted."""
        self._limit()
        return tuple(
            (item, name in self._deleted) for name, item in self._items.items()
        )

    @property
    def is_overfull(self) -> bool:
        """Whether objects were left out because of the limits of their class."""
        return self._ignored["surplus"] > 0

    @property
    def ignored(self) -> IgnoredObjects:
        """The objects that are not kept."""
        counts = {reason: count for reason, count in self._ignored.items() if count}
        return IgnoredObjects(counts, self._example)

    def _limit(self) -> None:
        before = len(self._items)
        self._items = limit_items(self._items, self.decoder.classes, _rank)
        if len(self._items) < before:
            self._deleted.intersection_update(self._items)
            self._ignored["surplus"] += before - len(self._items)
        self._next_check = max(FIRST_CHECK_ITEMS, 2 * len(self._items))


def _rank(item: StoredItem) -> tuple[bool, bool, str]:
    # Which objects are known is known to the mirror only.
    return True, bool(item.problem), item.name


def _load_content(part: Any, found: ObjectClass) -> Any:
    """Return the parsed content of an object.

    Raises one of `DECODE_ERRORS` if it is too long, too deep or not JSON.
    """
    if isinstance(part, LeafText):
        if part.text is None or part.size > found.max_text_bytes:
            raise ValueError(f"content of {part.size} bytes")
        estimate = estimate_memory(part.text)
        if estimate > found.max_parsed_bytes:
            raise ValueError(f"content may take {estimate} bytes of memory")
        part = part.load()
    if is_too_deep(part):
        raise ValueError("content is nested too deeply")
    return part
