"""Balancer and agent processes: the network I/O around the steering logic.

`_balancer` and `_agent` are not imported here: each process imports only the module of
its role.
"""

from bramleystair.nodes._settings import NodeSettings, PacketCodec
from bramleystair.nodes._start import Node, run_node

__all__ = ["Node", "NodeSettings", "PacketCodec", "run_node"]
