"""Benchmarks of the packet path, the decision modules and the control plane."""

from collections.abc import Sequence

import defopt

from bramleystair.bench._capacity import measure_capacity
from bramleystair.bench._fleet import build_fleet, populate_stores
from bramleystair.bench._forwarding import measure_forwarding
from bramleystair.bench._policy import measure_policy
from bramleystair.bench._simulated_network import Faults, SimulatedNetwork
from bramleystair.bench._spread import measure_spread

__all__ = [
    "Faults",
    "SimulatedNetwork",
    "build_fleet",
    "main",
    "measure_capacity",
    "measure_forwarding",
    "measure_policy",
    "measure_spread",
    "populate_stores",
]

COMMANDS = {
    "capacity": measure_capacity,
    "policy": measure_policy,
    "forward": measure_forwarding,
    "spread": measure_spread,
}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run `bramleystair-bench` with `arguments`, by default those of the process."""
    defopt.run(COMMANDS, argv=arguments)
