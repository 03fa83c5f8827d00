"""HTTP/1.1 client and server for the event loop."""

from bramleystair.http._budget import TimeBudget
from bramleystair.http._client import HttpClient, HttpFailure, HttpResponse
from bramleystair.http._server import HttpReply, HttpRequest, HttpServer

__all__ = [
    "HttpClient",
    "HttpFailure",
    "HttpReply",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "TimeBudget",
]
