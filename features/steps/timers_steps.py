from behave import given, then, when

from bramleystair.timers import ManualClock, TimerService


@given("a timer service on a manual clock")
def create_service(context):
    context.clock = ManualClock()
    context.timers = TimerService(context.clock)


@when("a callback is subscribed every {period:f} s and another once after {delay:f} s")
def subscribe(context, period, delay):
    context.periodic, context.single = [], []
    context.timers_created = [
        context.timers.call_every(period, context.periodic.append),
        context.timers.call_later(delay, context.single.append),
    ]


@when("both are cancelled")
def cancel(context):
    for timer in context.timers_created:
        timer.cancel()


@when("the clock advances {times:d} times by {seconds:f} s")
def advance(context, times, seconds):
    for _ in range(times):
        context.clock.advance(seconds)
        context.timers.run_due()


@then("the periodic callback ran at {expected}")
def check_periodic(context, expected):
    assert context.periodic == [float(time) for time in expected.split(",")]


@then("the single callback ran at {expected}")
def check_single(context, expected):
    assert context.single == [float(time) for time in expected.split(",")]


@then("no callback ran")
def check_none(context):
    assert context.periodic == []
    assert context.single == []
