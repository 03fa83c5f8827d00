"""Processes that carry out the steering decisions on sockets.

`_balancer` and `_agent` are loaded by the role that needs them.
"""

from bramleystair.nodes._settings import NodeSettings, PacketCodec
from bramleystair.nodes._start import Node, run_node

__all__ = ["Node", "NodeSettings", "PacketCodec", "run_node"]
