"""Clocks and a timer service with subscriptions for one call or periodic calls."""

from bramleystair.timers._service import (
    Clock,
    ManualClock,
    MonotonicClock,
    TimerService,
    TimerSubscription,
)

__all__ = [
    "Clock",
    "ManualClock",
    "MonotonicClock",
    "TimerService",
    "TimerSubscription",
]
