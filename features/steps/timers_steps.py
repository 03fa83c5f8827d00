from behave import given, then, when

from bramleystair.timers import ManualClock, TimerService


@given("a timer service on a manual clock")
def create_service(context):
    context.clock = ManualClock()
    context.timers = TimerService(context.clock)


@when("a callback is scheduled every {period:f} s and another once after {delay:f} s")
def schedule_callbacks(context, period, delay):
    context.periodic, context.single = [], []
    context.callback_timers = [
        context.timers.call_every(period, context.periodic.append),
        context.timers.call_later(delay, context.single.append),
    ]


@when("both are cancelled")
def cancel_timers(context):
    for timer in context.callback_timers:
        timer.cancel()


@when("the clock advances {times:d} times by {seconds:f} s")
def advance_clock(context, times, seconds):
    for _ in range(times):
        context.clock.advance(seconds)
        context.timers.run_due()


@then("the periodic callback ran at {expected}")
def check_periodic_calls(context, expected):
    assert context.periodic == [float(time) for time in expected.split(",")]


@then("the single callback ran at {expected}")
def check_single_call(context, expected):
    assert context.single == [float(time) for time in expected.split(",")]


@then("no callback ran")
def check_no_call(context):
    assert context.periodic == []
    assert context.single == []
