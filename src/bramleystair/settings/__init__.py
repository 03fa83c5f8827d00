"""Settings of the daemons, read from JSON with comments and validated."""

from bramleystair.settings._loader import (
    SettingsError,
    check_settings,
    load_settings,
    option,
)
from bramleystair.settings._schemas import (
    AgentSettings,
    BackendSettings,
    BalancerSettings,
    FabricSettings,
    ReplicationSettings,
    SeedSettings,
    build_peers,
)

__all__ = [
    "AgentSettings",
    "BackendSettings",
    "BalancerSettings",
    "FabricSettings",
    "SeedSettings",
    "SettingsError",
    "ReplicationSettings",
    "build_peers",
    "check_settings",
    "load_settings",
    "option",
]
