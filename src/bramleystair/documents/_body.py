"""Reading of a document that arrives in pieces, at once if it is short."""

from collections.abc import Mapping
from typing import Any

from bramleystair.documents._reader import DocumentReader, Fields, LeafText, Schema
from bramleystair.documents._values import DECODE_ERRORS, load_document

# Documents up to this length are parsed as a whole, which is faster.
SHORT_BODY_BYTES = 262_144


class BodyReader:
    """Collect the fields of an object in JSON from the pieces of a body.

    Parts of a long body are passed on and returned as a LeafText, those of a short one
    as parsed values; `load_part` returns the value of either.

    Parameters
    ----------
    fields : mapping of str to Schema
        Schemas of the fields other than `lists`, for a long body.
    lists : mapping of str to Elements
        Fields that have to be arrays, whose elements are passed on.
    """

    def __init__(
        self, fields: Mapping[str, Schema], lists: Mapping[str, Schema]
    ) -> None:
        self._fields = fields
        self._lists = lists
        self._short_body: list[bytes] = []
        self._reader: DocumentReader | None = None
        self._error: Exception | None = None
        self.size = 0

    def feed(self, data: bytes) -> None:
        """Read the next piece; an error is raised by `finish`."""
        self.size += len(data)
        if self._error is not None:
            return
        if self._reader is None:
            self._short_body.append(data)
            if self.size <= SHORT_BODY_BYTES:
                return
            data = self._begin_long_body()
        self._feed_reader(data)

    def finish(self) -> dict[str, Any]:
        """Return the fields.

        Raises one of `DECODE_ERRORS` if the document has another form.
        """
        if self._reader is None and self._error is None:
            document = self._load_short_body()
            if document is not None:
                return self._pass_on(document)
            self._feed_reader(self._begin_long_body())
        if self._error is not None:
            raise self._error
        document = self._reader.finish()
        if not isinstance(document, dict) or None in map(document.get, self._lists):
            raise ValueError("the document has other fields")
        return document

    def _begin_long_body(self) -> bytes:
        self._reader = DocumentReader(Fields({**self._fields, **self._lists}))
        body, self._short_body = b"".join(self._short_body), []
        return body

    def _feed_reader(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
        except DECODE_ERRORS as error:
            self._error = error

    def _load_short_body(self) -> dict[str, Any] | None:
        """Return the parsed body, or None if not all of it can be parsed at once."""
        try:
            document = load_document(b"".join(self._short_body), 0).value
        except ValueError:
            return None
        return document if isinstance(document, dict) else None

    def _pass_on(self, document: dict[str, Any]) -> dict[str, Any]:
        for name, schema in self._lists.items():
            if not isinstance(document[name], list):
                raise TypeError(f"{name} is not an array")
            for element in document[name]:
                schema.on_element(element)
        return document


def load_part(part: Any) -> Any:
    """Return the value of a part of a document.

    Raises ValueError or RecursionError if it is a text that cannot be parsed.
    """
    match part:
        case LeafText():
            return part.load()
        case _:
            return part
