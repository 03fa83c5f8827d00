"""HTTP/1.1 front end of the balancer for callers."""

from bramleystair.caller._server import CallerServer
from bramleystair.caller._settings import CallerSettings

__all__ = ["CallerServer", "CallerSettings"]
