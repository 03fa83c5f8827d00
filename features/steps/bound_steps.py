import attrs
from behave import given, then, when

from bramleystair.model._bound import RequestClass, Workload, compute_upper_bound
from bramleystair.model._bound_cli import print_bound

WINDOW_S = 2.0
# Objective and deadline of all classes.
OBJECTIVE_AND_DEADLINE_S = (0.2, 2.0)


@given("{rate:d} requests of {work:g} s a second for {slots:d} slots")
def create_load(context, rate, work, slots):
    context.workload = Workload(
        (RequestClass("feed", rate, work, *OBJECTIVE_AND_DEADLINE_S),), slots
    )


@given("classes of value 2 and 1 with {rate:d} requests of {work:g} s a second each")
def create_classes(context, rate, work):
    valuable = RequestClass(
        "valuable", rate, work, *OBJECTIVE_AND_DEADLINE_S, value=2.0, late_value=0.0
    )
    ordinary = RequestClass(
        "ordinary", rate, work, *OBJECTIVE_AND_DEADLINE_S, late_value=0.0
    )
    context.workload = Workload((ordinary, valuable), 1)


@when("the power is out from {start:d} s to {end:d} s")
def set_outage(context, start, end):
    context.workload = attrs.evolve(context.workload, outage_s=(start, end))


@when("the servers have {slots:d} slots")
def set_slots(context, slots):
    context.workload = attrs.evolve(context.workload, slots=slots)


@when('the bound is computed for the class "{text}"')
def compute_bound_of_class(context, text):
    context.code = print_bound(text, slots=1)


@then("the command exits with code {code:d}")
def check_code(context, code):
    assert context.code == code


def compute_shares(context):
    windows = compute_upper_bound(context.workload, WINDOW_S, seed=1)
    return {
        number * WINDOW_S: window.achieved_value / window.offered_value
        for number, window in windows.items()
    }


@then("the bound is at least {least:g} in each window of 2 s")
def check_each_window(context, least):
    shares = compute_shares(context)
    assert len(shares) == 20 and min(shares.values()) >= least, shares


@then("the bound is between {least:g} and {most:g} in the window from {start:d} s")
def check_window(context, least, most, start):
    assert least <= compute_shares(context)[start] <= most, compute_shares(context)


@then("the bound is at least {least:g} in the window from {start:d} s")
def check_window_minimum(context, least, start):
    assert compute_shares(context)[start] >= least, compute_shares(context)
