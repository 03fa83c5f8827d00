"""Discrete-event model of callers, backend servers and the network around steering."""

from bramleystair.model._callers import CallerSettings, Outcome
from bramleystair.model._fleet import Fleet, FleetSettings
from bramleystair.model._report import Report
from bramleystair.model._servers import ServerSettings

__all__ = [
    "CallerSettings",
    "Fleet",
    "FleetSettings",
    "Outcome",
    "Report",
    "ServerSettings",
]
