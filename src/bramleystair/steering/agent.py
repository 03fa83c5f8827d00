"""Steering logic of an agent."""

from bramleystair.steering._agent import AgentSteering
from bramleystair.steering._agent_settings import AgentSteeringSettings

__all__ = ["AgentSteering", "AgentSteeringSettings"]
