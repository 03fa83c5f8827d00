import contextlib
import io
import math
from pathlib import Path

from behave import then, when

from bramleystair.bench import COMMANDS, main
from bramleystair.bench._capacity_page import find_limit, render_capacity
from bramleystair.bench._fits import fit_slope
from bramleystair.bench._report import render_spread

DOCS = Path(__file__).parents[2] / "docs"
SIZES = range(1, 9)


@when("a line of slope 3 from 5 is fitted, exactly and with alternating errors of 1")
def fit_lines(context):
    exact = [(size, 5 + 3 * size) for size in SIZES]
    noisy = [(size, cost + (-1) ** size) for size, cost in exact]
    context.slopes = [fit_slope("line", "x", "y", points) for points in (exact, noisy)]


@then(
    "both fits have slope 3 within their errors, and only the second error is non-zero"
)
def check_lines(context):
    exact, noisy = context.slopes
    assert math.isclose(exact.slope, 3) and math.isclose(exact.predict(100), 305)
    assert exact.error < 1e-9
    assert abs(noisy.slope - 3) < noisy.error < 1


@when("costs that alternate around 7 are fitted")
def fit_flat(context):
    points = [(size, 7 + (-1) ** size) for size in SIZES]
    context.flat = fit_slope("flat", "x", "y", points)


@then("the fit predicts 7 at a size of {size:d}")
def check_flat(context, size):
    assert context.flat.slope != 0
    assert math.isclose(context.flat.predict(size), 7)


@when("the pages are rendered from docs/capacity")
def render_pages(context):
    context.pages = {
        "CAPACITY.md": render_capacity(DOCS / "capacity"),
        "spread.md": render_spread(DOCS / "capacity"),
    }


@then("docs/CAPACITY.md and docs/spread.md equal the rendered pages")
def check_pages(context):
    for name, text in context.pages.items():
        assert (DOCS / name).read_text() == text, f"{name} does not match its data"


@when("a limit of {limit:f} times the planned size is searched")
def search_limit(context, limit):
    context.limit = limit
    context.found = find_limit(lambda factor: factor <= limit)


@then(
    "it is found within {tolerance:f}, and a condition that always holds has no limit"
)
def check_limit(context, tolerance):
    assert abs(context.found - context.limit) < tolerance
    assert find_limit(lambda factor: True) == math.inf


@when("the help of each measurement is requested")
def request_help(context):
    context.outcomes = {}
    for command in COMMANDS:
        text = io.StringIO()
        try:
            with contextlib.redirect_stdout(text):
                main([command, "--help"])
        except SystemExit as exit_error:
            context.outcomes[command] = (exit_error.code, text.getvalue())


@then("each is printed without an error")
def check_help(context):
    assert set(context.outcomes) == set(COMMANDS)
    for command, (code, text) in context.outcomes.items():
        assert code == 0 and command in text, (command, code, text)
