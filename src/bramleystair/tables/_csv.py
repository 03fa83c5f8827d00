"""CSV format of table rows, in the variants that spreadsheets write."""

import csv
import io
import math
from collections.abc import Callable, Collection, Iterable

import attrs
from result import Err, Ok, Result

from bramleystair.tables._objects import Member

COLUMNS = ("server", "zone", "weight", "max_flows", "max_requests")
MAX_WEIGHT = 1e6
MAX_COUNT = 2**32 - 1
MAX_COUNT_DIGITS = 20
NAME_RULE = "a name of letters, digits, '-', '_' and '.'"
WEIGHT_RULE = f"a number from 0 to {MAX_WEIGHT:.0f}"
COUNT_RULE = f"a whole number from 0 to {MAX_COUNT}"


@attrs.frozen
class TableError:
    """An error in a table file.

    Parameters
    ----------
    file : str
        Name of the file.
    line : int
        Line number, from 1.
    column : str
        Name of the column; empty if the error concerns the whole line.
    value : str
        Value found in the file.
    allowed : str
        Description of the allowed values.
    """

    file: str
    line: int
    column: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error as a single line of text."""
        column = f", column {self.column}" if self.column else ""
        return (
            f"{self.file}, line {self.line}{column}: {self.value!r} is not allowed;"
            f" allowed: {self.allowed}"
        )


def read_table_csv(
    data: bytes, *, file: str = "table", zones: Collection[str] | None = None
) -> Result[tuple[Member, ...], tuple[TableError, ...]]:
    """Return the rows in `data`, or all errors found in them.

    Parameters
    ----------
    data : bytes
        UTF-8 text with or without a byte order mark, lines ended by LF or CRLF, and
        cells separated by commas, semicolons or tabs. With semicolons or tabs, a
        weight may have a decimal comma. Blank lines are skipped.
    file : str
        Name of the file, for error messages.
    zones : collection of str or None
        Availability zones that a row may name; None allows any.
    """
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        value = repr(data[error.start : error.end])
        return Err((TableError(file, line, "", value, "UTF-8 text"),))
    try:
        return _CsvReader(file, zones).read(text)
    except csv.Error as error:
        return Err((TableError(file, 1, "", str(error), "CSV text"),))


def write_table_csv(members: Iterable[Member]) -> bytes:
    """Return the rows as CSV that `read_table_csv` reads back unchanged."""
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\r\n")
    writer.writerow(COLUMNS)
    for member in members:
        row = attrs.asdict(member)
        row["weight"] = format_weight(member.weight)
        writer.writerow(row[column] for column in COLUMNS)
    return text.getvalue().encode("utf-8-sig")


def format_weight(weight: float) -> str:
    """Return a weight as text, without decimals if it is an integer."""
    return str(int(weight)) if weight == int(weight) else repr(weight)


class _CsvReader:
    def __init__(self, file: str, zones: Collection[str] | None) -> None:
        self._file = file
        self._zones = zones
        self._errors: list[TableError] = []
        self._has_decimal_comma = False

    def read(self, text: str) -> Result[tuple[Member, ...], tuple[TableError, ...]]:
        header = text.lstrip("\r\n").partition("\n")[0]
        delimiter = _find_delimiter(header)
        self._has_decimal_comma = delimiter != ","
        reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter)
        lines = [(reader.line_num, row) for row in reader]
        lines = [
            (line, _strip_cells(row)) for line, row in lines if any(_strip_cells(row))
        ]
        if not lines:
            return Err((self._build_error(1, "", "", "a header and rows"),))
        columns = self._read_header(*lines[0])
        if columns is None:
            return Err(tuple(self._errors))
        members = self._read_rows(columns, lines[1:])
        if not members and not self._errors:
            self._add_error(lines[0][0], "", "no rows", "at least one row")
        return Err(tuple(self._errors)) if self._errors else Ok(tuple(members))

    def _read_header(self, line: int, row: list[str]) -> list[str] | None:
        columns = [cell.lower() for cell in row]
        while columns and not columns[-1]:
            columns.pop()
        if sorted(columns) == sorted(COLUMNS):
            return columns
        self._add_error(line, "", ",".join(row), "the header " + ",".join(COLUMNS))
        return None

    def _read_rows(
        self, columns: list[str], lines: list[tuple[int, list[str]]]
    ) -> list[Member]:
        members: dict[str, Member] = {}
        for line, row in lines:
            member = self._read_row(line, columns, row)
            if member is None:
                continue
            if member.server in members:
                allowed = "each backend server once"
                self._add_error(line, "server", member.server, allowed)
                continue
            members[member.server] = member
        return list(members.values())

    def _read_row(self, line: int, columns: list[str], row: list[str]) -> Member | None:
        width = len(columns)
        if len(row) < width or any(row[width:]):
            self._add_error(line, "", ",".join(row), f"{width} cells")
            return None
        cells = dict(zip(columns, row, strict=False))
        error_count = len(self._errors)
        member = Member(
            self._read_cell(line, "server", cells, _read_name, NAME_RULE),
            self._read_zone(line, cells),
            self._read_cell(line, "weight", cells, self._read_weight, WEIGHT_RULE),
            self._read_cell(line, "max_flows", cells, _read_count, COUNT_RULE),
            self._read_cell(line, "max_requests", cells, _read_count, COUNT_RULE),
        )
        return member if len(self._errors) == error_count else None

    def _read_zone(self, line: int, cells: dict[str, str]) -> str:
        zone = self._read_cell(line, "zone", cells, _read_name, NAME_RULE)
        if zone and self._zones is not None and zone not in self._zones:
            self._add_error(
                line, "zone", zone, "one of " + ", ".join(sorted(self._zones))
            )
        return zone

    def _read_weight(self, text: str) -> float | None:
        if self._has_decimal_comma:
            text = text.replace(",", ".")
        try:
            weight = float(text)
        except ValueError:
            return None
        is_decimal_notation = text.isascii() and "_" not in text
        is_allowed = math.isfinite(weight) and 0 <= weight <= MAX_WEIGHT
        return weight + 0.0 if is_decimal_notation and is_allowed else None

    def _read_cell(
        self,
        line: int,
        column: str,
        cells: dict[str, str],
        read: Callable[[str], object],
        rule: str,
    ) -> object:
        value = read(cells[column])
        if value is None:
            self._add_error(line, column, cells[column], rule)
            return ""
        return value

    def _add_error(self, line: int, column: str, value: str, allowed: str) -> None:
        self._errors.append(self._build_error(line, column, value, allowed))

    def _build_error(
        self, line: int, column: str, value: str, allowed: str
    ) -> TableError:
        return TableError(self._file, line, column, value, allowed)


def _find_delimiter(header: str) -> str:
    return max(",;\t", key=header.count)


def _strip_cells(row: list[str]) -> list[str]:
    return [cell.strip() for cell in row]


def _read_name(text: str) -> str | None:
    is_name = bool(text) and all(char.isalnum() or char in "-_." for char in text)
    return text if is_name else None


def _read_count(text: str) -> int | None:
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_number and int(text) <= MAX_COUNT else None
