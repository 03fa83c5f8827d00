"""HTTP protocol used with the backend server beside an agent."""

from bramleystair.backend._client import (
    BackendClient,
    BackendLoad,
    Failed,
    Ran,
    RunOutcome,
    Shed,
)

__all__ = ["BackendClient", "BackendLoad", "Failed", "Ran", "RunOutcome", "Shed"]
