"""Steering decisions of a balancer."""

from bramleystair.steering._balancer import BalancerSteering
from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._members import Members
from bramleystair.steering._roster_schedule import RosterSchedule
from bramleystair.steering._rosters import (
    Roster,
    RosterChange,
    RosterCopy,
    condense_roster_copy,
    decode_roster_copy,
    is_roster_name,
    parse_roster_name,
)

__all__ = [
    "BalancerSteering",
    "BalancerSteeringSettings",
    "Members",
    "Roster",
    "RosterChange",
    "RosterCopy",
    "RosterSchedule",
    "decode_roster_copy",
    "condense_roster_copy",
    "is_roster_name",
    "parse_roster_name",
]
