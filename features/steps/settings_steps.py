import tempfile
from pathlib import Path

from behave import then, when

from bramleystair.settings import BalancerSettings, load_settings
from bramleystair.settings._page import build_page

ROOT = Path(__file__).parents[2]
CONTENTS = {
    "no bytes": b"",
    "an unclosed object": b'{"node": "balancer-1"',
    "invalid UTF-8": b'{"node": "\xff\xfe"}',
    "deep nesting": b"[" * 100_000,
}


def load(context, content):
    with tempfile.TemporaryDirectory() as directory:
        context.path = Path(directory) / "balancer.json5"
        if content is not None:
            context.path.write_bytes(content)
        context.result = load_settings(context.path, BalancerSettings)


@when("the balancer's settings are read from")
def read_text(context):
    load(context, context.text.encode())


@when("the balancer's settings are read from a file with {content}")
def read_content(context, content):
    load(context, CONTENTS.get(content))


@then('option "{name}" is {value:d}')
def check_option(context, name, value):
    found = context.result.unwrap()
    for part in name.split("."):
        found = getattr(found, part)
    assert found == value, found


@then("these options are refused")
def check_refused(context):
    errors = {error.option: error for error in context.result.unwrap_err()}
    assert set(errors) == {row["option"] for row in context.table}, set(errors)
    for row in context.table:
        error = errors[row["option"]]
        assert error.value == row["value"], error
        assert row["allowed"] in error.allowed, error


@then("each error names the file")
def check_file(context):
    for error in context.result.unwrap_err():
        assert str(context.path) in str(error), error


@then("one error without an option is reported")
def check_single(context):
    (error,) = context.result.unwrap_err()
    assert error.option == ""
    assert error.allowed


@then("docs/settings.md equals the page generated from the schemas")
def check_page(context):
    page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    assert page == build_page()
