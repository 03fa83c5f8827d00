"""Service tables, availability zone marks and announcements."""

from bramleystair.tables._csv import (
    TableError,
    format_weight,
    read_table_csv,
    write_table_csv,
)
from bramleystair.tables._json import (
    AGENT_PREFIX,
    BALANCER_PREFIX,
    TABLE_PREFIX,
    ZONE_PREFIX,
    ConfigObject,
    build_key,
    decode_object,
    encode_object,
    replace_version,
)
from bramleystair.tables._objects import (
    AgentAnnouncement,
    AgentState,
    BalancerAnnouncement,
    Member,
    Protocol,
    Table,
    ZoneMark,
    compute_service_id,
)

__all__ = [
    "AGENT_PREFIX",
    "BALANCER_PREFIX",
    "TABLE_PREFIX",
    "ZONE_PREFIX",
    "AgentState",
    "AgentAnnouncement",
    "ConfigObject",
    "Member",
    "BalancerAnnouncement",
    "Protocol",
    "Table",
    "TableError",
    "ZoneMark",
    "build_key",
    "compute_service_id",
    "decode_object",
    "encode_object",
    "format_weight",
    "read_table_csv",
    "replace_version",
    "write_table_csv",
]
