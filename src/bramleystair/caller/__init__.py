"""HTTP/1.1 protocol used with callers."""

from bramleystair.caller._server import CallerServer
from bramleystair.caller._settings import CallerSettings

__all__ = ["CallerServer", "CallerSettings"]
