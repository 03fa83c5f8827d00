"""Clocks and a service for delayed and periodic callbacks."""

from bramleystair.timers._service import (
    Clock,
    ManualClock,
    MonotonicClock,
    Timer,
    TimerService,
)

__all__ = ["Clock", "ManualClock", "MonotonicClock", "Timer", "TimerService"]
