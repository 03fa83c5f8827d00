"""Readers of the store's responses, which may be of any length.

A watch returns all changes since the last one, and each object may be as large as the
store permits. The responses are read as they arrive, and content that the node does not
use is not parsed.
"""

from collections.abc import Mapping
from typing import Any

from bramleystair.documents import (
    DECODE_ERRORS,
    BodyReader,
    Elements,
    Fields,
    Leaf,
    load_part,
    read_int,
    read_text,
)
from bramleystair.mirror import (
    Changes,
    Listing,
    ObjectCollector,
    ObjectDecoder,
    StoredItem,
)

# Longest texts of an object's name, and of numbers and flags.
MAX_NAME_BYTES = 8_192
MAX_SCALAR_BYTES = 64


def build_listing_reader(collector: ObjectCollector) -> BodyReader:
    """Return a reader of a list of objects."""

    def add(document: Any) -> None:
        _add(collector, document, False)

    schema = _build_object_schema(collector.decoder)
    scalar = Leaf(MAX_SCALAR_BYTES)
    return BodyReader(
        {"HasMore": scalar, "At": scalar}, {"items": Elements(schema, add)}
    )


def build_listing(collector: ObjectCollector, fields: Mapping[str, Any]) -> Listing:
    """Return the page of a list from its objects and its other fields."""
    return Listing(
        tuple(collector.take_items().values()),
        read_int(load_part(fields["At"]), "At"),
        bool(load_part(fields.get("HasMore"))),
        collector.last_name,
        collector.ignored,
    )


def build_changes_reader(collector: ObjectCollector) -> BodyReader:
    """Return a reader of the changes that a watch returns."""

    def add(document: Any) -> None:
        try:
            item, is_deleted = document["Object"], load_part(document.get("Deleted"))
        except DECODE_ERRORS as error:
            collector.ignore("unreadable", repr(error))
            return
        _add(collector, item, bool(is_deleted))

    scalar = Leaf(MAX_SCALAR_BYTES)
    schema = Fields(
        {"Object": _build_object_schema(collector.decoder), "Deleted": scalar}
    )
    return BodyReader({"At": scalar}, {"events": Elements(schema, add)})


def build_changes(collector: ObjectCollector, fields: Mapping[str, Any]) -> Changes:
    """Return the changes of a watch from its objects and its other fields."""
    revision = read_int(load_part(fields["At"]), "At")
    return Changes(collector.take_events(), revision, collector.ignored)


def build_object_reader(decoder: ObjectDecoder) -> BodyReader:
    """Return a reader of a single object."""
    return BodyReader(_build_object_schema(decoder).schemas, {})


def build_object(decoder: ObjectDecoder, fields: Mapping[str, Any]) -> StoredItem:
    """Return a single object, without content if the node does not use it."""
    name, revision = _read_identity(fields)
    item = decoder.decode(name, revision, fields.get("spec"))
    return item or StoredItem(name, revision)


def _build_object_schema(decoder: ObjectDecoder) -> Fields:
    meta = Fields({"Name": Leaf(MAX_NAME_BYTES), "Rev": Leaf(MAX_SCALAR_BYTES)})
    return Fields({"meta": meta, "spec": Leaf(decoder.max_text_bytes)})


def _add(collector: ObjectCollector, document: Any, is_deleted: bool) -> None:
    try:
        name, revision = _read_identity(document)
        part = document.get("spec")
    except DECODE_ERRORS as error:
        collector.ignore("unreadable", repr(error))
        return
    collector.add(name, revision, part, is_deleted)


def _read_identity(document: Any) -> tuple[str, int]:
    """Return the name and the revision of an object.

    Raises one of `DECODE_ERRORS` if it has none.
    """
    meta = document["meta"]
    return (
        read_text(load_part(meta["Name"]), "Name"),
        read_int(load_part(meta["Rev"]), "Rev"),
    )
