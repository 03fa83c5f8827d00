"""Clocks and the timer service that components subscribe to."""

from bramleystair.timers._service import (
    Clock,
    ManualClock,
    MonotonicClock,
    Timer,
    TimerService,
)

__all__ = ["Clock", "ManualClock", "MonotonicClock", "Timer", "TimerService"]
