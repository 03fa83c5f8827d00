"""Service tables, availability zone marks and announcements."""

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
    "ZoneMark",
    "compute_service_id",
]
