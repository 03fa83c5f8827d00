"""JSON documents to which other writers contribute.

A part that cannot be read must not cost the rest of the document, and no part may cost
more memory or time than its reader has set.
"""

from bramleystair.documents._body import BodyReader, load_part
from bramleystair.documents._reader import (
    DocumentReader,
    Elements,
    Fields,
    Leaf,
    LeafText,
    Row,
    Schema,
)
from bramleystair.documents._values import (
    DECODE_ERRORS,
    MAX_DEPTH,
    MAX_NUMBER,
    MAX_PORT,
    Document,
    estimate_memory,
    is_too_deep,
    load_document,
    read_float,
    read_int,
    read_text,
)

__all__ = [
    "DECODE_ERRORS",
    "MAX_DEPTH",
    "MAX_NUMBER",
    "MAX_PORT",
    "BodyReader",
    "Document",
    "DocumentReader",
    "Elements",
    "Fields",
    "Leaf",
    "LeafText",
    "Row",
    "Schema",
    "estimate_memory",
    "is_too_deep",
    "load_document",
    "load_part",
    "read_float",
    "read_int",
    "read_text",
]
