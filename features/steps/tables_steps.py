import csv
import io
import random

import attrs
import hypothesis
from behave import then, when
from hypothesis import strategies as st

from bramleystair.tables import Member, format_weight, read_table_csv, write_table_csv

ZONES = ("z1", "z2")
COLUMNS = ["server", "zone", "weight", "max_flows", "max_requests"]
COUNT = st.integers(0, 2**32 - 1)
NAME = st.text("abcXYZ019-_.é", min_size=1, max_size=8)
MEMBER = st.builds(
    Member,
    NAME,
    st.sampled_from(ZONES),
    st.floats(0, 1e6).map(abs) | st.integers(0, 9).map(float),
    COUNT,
    COUNT,
)
TABLE = st.lists(MEMBER, min_size=1, max_size=6, unique_by=lambda row: row.server).map(
    tuple
)
INVALID_CELLS = {
    "server": ["", "a b", "a,b", "a/b", '"'],
    "zone": ["", "z9", "Z1", "z 1"],
    "weight": ["", "-1", "x", "nan", "inf", "1e7", "1_0", "1 0", "0x1", "٣"],
    "max_flows": ["", "-1", "1.5", "x", "4294967296", "9" * 5000, "1e3", "²"],
}
INVALID_CELLS["max_requests"] = INVALID_CELLS["max_flows"]


def write_variant(rows, columns, delimiter, newline, has_bom, blank_lines):
    text = io.StringIO()
    writer = csv.DictWriter(text, columns, delimiter=delimiter, lineterminator=newline)
    writer.writeheader()
    writer.writerows(rows)
    data = text.getvalue() + (delimiter * 4 + newline + newline) * blank_lines
    return data.encode("utf-8-sig" if has_bom else "utf-8")


def build_cells(member):
    return attrs.asdict(member) | {"weight": format_weight(member.weight)}


@when(
    "{count:d} generated tables are written with byte order marks, semicolons, CRLF,"
    " reordered columns and blank lines"
)
def write_variants(context, count):
    context.pairs = []

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(
        TABLE,
        st.permutations(COLUMNS),
        st.sampled_from([",", ";", "\t"]),
        st.sampled_from(["\n", "\r\n"]),
        st.booleans(),
        st.integers(0, 2),
        st.booleans(),
    )
    def run(
        members, columns, delimiter, newline, has_bom, blank_lines, has_decimal_comma
    ):
        rows = [build_cells(member) for member in members]
        if has_decimal_comma and delimiter != ",":
            for row in rows:
                row["weight"] = row["weight"].replace(".", ",")
        data = write_variant(rows, columns, delimiter, newline, has_bom, blank_lines)
        context.pairs.append((members, read_table_csv(data, zones=ZONES)))
        context.pairs.append((members, read_table_csv(write_table_csv(members))))

    run()


@then("each is read back unchanged")
def check_round_trips(context):
    assert len(context.pairs) > 200
    for members, result in context.pairs:
        assert result.is_ok() and result.unwrap() == members, (members, result)


@when("{count:d} generated tables have one cell replaced by an invalid value")
def replace_cells(context, count):
    context.cases = []

    @hypothesis.settings(max_examples=count)
    @hypothesis.given(TABLE, st.data())
    def run(members, data):
        number = data.draw(st.integers(0, len(members) - 1))
        column = data.draw(st.sampled_from(COLUMNS))
        value = data.draw(st.sampled_from(INVALID_CELLS[column]))
        rows = [build_cells(member) for member in members]
        rows[number][column] = value
        content = write_variant(rows, COLUMNS, ",", "\r\n", True, 1)
        result = read_table_csv(content, file="t.csv", zones=ZONES)
        context.cases.append((number + 2, column, value, result))

    run()


@then("each error names the file, line, column and value, and what is allowed")
def check_cases(context):
    assert len(context.cases) >= 300
    for line, column, value, result in context.cases:
        (error,) = result.unwrap_err()
        found = (error.file, error.line, error.column, error.value)
        assert found == ("t.csv", line, column, value.strip()), (found, value)
        assert error.allowed and error.allowed in str(error)


@when('the table file "{content}" is read')
def read_content(context, content):
    data = content.encode().decode("unicode_escape").encode("latin-1")
    context.result = read_table_csv(data, zones=ZONES)


@when('the table file "" is read')
def read_empty(context):
    context.result = read_table_csv(b"", zones=ZONES)


@then('the error on line {line:d} says "{allowed}"')
def check_error(context, line, allowed):
    (error,) = context.result.unwrap_err()
    assert error.line == line and allowed in error.allowed, error


@when("{count:d} random byte strings are read as tables")
def read_random(context, count):
    source = random.Random(1)
    context.results = [
        read_table_csv(source.randbytes(source.randrange(0, 200))) for _ in range(count)
    ]


@then("each is refused with errors")
def check_random(context):
    assert all(result.is_err() and result.err() for result in context.results)
