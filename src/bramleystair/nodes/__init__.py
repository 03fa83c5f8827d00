"""Processes that carry out the steering decisions on sockets."""

from bramleystair.nodes._agent import AgentNode
from bramleystair.nodes._balancer import BalancerNode
from bramleystair.nodes._settings import NodeSettings, PacketCodec
from bramleystair.nodes._start import run_node

__all__ = ["AgentNode", "BalancerNode", "NodeSettings", "PacketCodec", "run_node"]
