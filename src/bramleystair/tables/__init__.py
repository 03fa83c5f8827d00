"""Service tables, availability zone marks and announcements."""

from bramleystair.tables._csv import (
    TableError,
    format_weight,
    read_table_csv,
    write_table_csv,
)
from bramleystair.tables._objects import (
    AgentState,
    Announcement,
    Member,
    NodeAnnouncement,
    Protocol,
    Table,
    ZoneMark,
    compute_service_id,
)

__all__ = [
    "AgentState",
    "Announcement",
    "Member",
    "NodeAnnouncement",
    "Protocol",
    "Table",
    "TableError",
    "ZoneMark",
    "compute_service_id",
    "format_weight",
    "read_table_csv",
    "write_table_csv",
]
