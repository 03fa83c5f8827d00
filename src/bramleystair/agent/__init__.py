"""Agent: process that runs next to each backend server."""

from bramleystair.agent._daemon import AgentDaemon, run_agent
from bramleystair.agent._main import main

__all__ = ["AgentDaemon", "main", "run_agent"]
