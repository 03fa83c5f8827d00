"""HTTP/1.1 over asyncio, with h11 as its parser."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

READ_BYTES = 65_536
# Reply of a handler; None leaves the call without an answer.
Reply = tuple[int, bytes] | None
Handler = Callable[[str, str, bytes], Awaitable[Reply]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve calls on an address; each is given to `handler`."""

    async def connect(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_connection(reader, writer, handler)
        except (ConnectionError, h11.ProtocolError):
            pass  # The peer has closed the connection, or was killed.
        except asyncio.CancelledError:
            pass  # The run ends.
        finally:
            writer.close()

    return await asyncio.start_server(connect, host, port)


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    parser = h11.Connection(h11.SERVER)
    while True:
        request, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
                continue
            match event:
                case h11.Request():
                    request = event
                case h11.Data():
                    body += bytes(event.data)
                case h11.EndOfMessage():
                    break
                case _:
                    return
        reply = await handler(request.method.decode(), request.target.decode(), body)
        if reply is None:
            # A connection on which a response is lost returns nothing further.
            await reader.read()
            return
        status, data = reply
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        output = parser.send(h11.Response(status_code=status, headers=headers))
        if data:
            output += parser.send(h11.Data(data=data))
        writer.write(output + parser.send(h11.EndOfMessage()))
        await writer.drain()
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            return
        parser.start_next_cycle()


async def call(
    host: str,
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Reply:
    """Call a server once; None if there is no whole answer in time."""
    try:
        return await asyncio.wait_for(
            _call(host, port, method, target, body), timeout_s
        )
    except (TimeoutError, OSError, h11.ProtocolError):
        return None


async def _call(host: str, port: int, method: str, target: str, body: bytes) -> Reply:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        parser = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", f"{host}:{port}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        data = parser.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += parser.send(h11.Data(data=body))
        writer.write(data + parser.send(h11.EndOfMessage()))
        status, content = 0, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_BYTES))
                continue
            match event:
                case h11.Response():
                    status = event.status_code
                case h11.Data():
                    content += bytes(event.data)
                case h11.EndOfMessage():
                    return status, content
                case h11.ConnectionClosed():
                    return None
    finally:
        writer.close()
