"""Loopback network of the scenarios, reserved as long as the process runs."""

from bramleystair.standins import reserve_network

# behave executes step modules a second time if others import them, so the network is
# reserved in a module that is only imported.
_guard, NETWORK = reserve_network()
