import attrs
from behave import given, then, when

from bramleystair.model._bound import RequestClass, Workload, compute_bound
from bramleystair.model._bound_cli import print_bound

WINDOW_S = 2.0
# Objective and deadline in seconds of all classes.
LIMITS_S = (0.2, 2.0)


@given("{rate:d} requests of {work:g} s a second for {slots:d} slots")
def create_load(context, rate, work, slots):
    context.workload = Workload((RequestClass("feed", rate, work, *LIMITS_S),), slots)


@given(
    "a class worth 2 and one worth 1 of {rate:d} requests of {work:g} s a second each"
)
def create_classes(context, rate, work):
    claims = RequestClass("claim", rate, work, *LIMITS_S, worth=2.0, late_worth=0.0)
    feeds = RequestClass("feed", rate, work, *LIMITS_S, late_worth=0.0)
    context.workload = Workload((feeds, claims), 1)


@when("the power is lost from {start:d} s to {end:d} s")
def lose_power(context, start, end):
    context.workload = attrs.evolve(context.workload, outage_s=(start, end))


@when("all servers together have {slots:d} slots")
def set_slots(context, slots):
    context.workload = attrs.evolve(context.workload, slots=slots)


@when('the bound is asked for "{text}"')
def ask_bound(context, text):
    context.code = print_bound(text, slots=1)


@then("it ends with the code {code:d}")
def check_code(context, code):
    assert context.code == code


def compute_shares(context):
    windows = compute_bound(context.workload, WINDOW_S, seed=1)
    return {
        number * WINDOW_S: window.earned / window.owed
        for number, window in windows.items()
    }


@then("the bound is at least {least:g} in each window of 2 s")
def check_all(context, least):
    shares = compute_shares(context)
    assert len(shares) == 20 and min(shares.values()) >= least, shares


@then("the bound is between {least:g} and {most:g} in the window from {start:d} s")
def check_window(context, least, most, start):
    assert least <= compute_shares(context)[start] <= most, compute_shares(context)


@then("the bound is at least {least:g} in the window from {start:d} s")
def check_least(context, least, start):
    assert compute_shares(context)[start] >= least, compute_shares(context)
