"""Steering decisions of a balancer."""

from bramleystair.steering._balancer import BalancerSteering
from bramleystair.steering._balancer_settings import BalancerSteeringSettings

__all__ = ["BalancerSteering", "BalancerSteeringSettings"]
