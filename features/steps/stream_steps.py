import queue
import socket
import struct
import threading

from behave import given, then, when

from bramleystair.wire import Answer, Fetch, StreamClient, StreamServer, encode
from bramleystair.wire._stream import build_frame, read_frame

FETCH = build_frame("b0", 1, Fetch(1, b"ticket")).unwrap()


@given("a stream server")
def start_server(context):
    context.peers = []
    context.length = 10
    context.responded = threading.Event()

    def respond(peer, envelope):
        context.peers.append(peer)
        for number in range(envelope.message.request_id):
            body = bytes([number]) * context.length
            context.server.send(peer, Answer(number, b"", 200, body))
        context.responded.set()

    context.server = StreamServer("127.0.0.1", 0, "s0", 1, respond)
    context.server.start()
    context.add_cleanup(context.server.stop)


def connect(context):
    sock = socket.create_connection(context.server.address)
    sock.settimeout(10.0)
    context.add_cleanup(sock.close)
    return sock


@when(
    "a peer that reads slowly requests {count:d} responses of {length:d} bytes "
    "and the server stops"
)
def read_slowly(context, count, length):
    context.length = length
    sock = connect(context)
    sock.sendall(build_frame("b0", 1, Fetch(count)).unwrap())
    assert context.responded.wait(10.0)
    stopper = threading.Thread(target=context.server.stop)
    stopper.start()
    context.responses = []
    while (result := read_frame(sock, "s0")).is_ok():
        context.responses.append(result.unwrap().message)
    stopper.join()


@then("it reads {count:d} complete responses in order")
def check_responses(context, count):
    expected = [bytes([number]) * context.length for number in range(count)]
    assert [response.body for response in context.responses] == expected


@when("a peer sends {content}")
def send_bytes(context, content):
    context.sock = connect(context)
    match content:
        case "a malformed envelope":
            context.sock.sendall(struct.pack(">I", 16) + b"\xff" * 16)
        case "half a frame":
            context.sock.sendall(FETCH[: len(FETCH) // 2])
            context.sock.shutdown(socket.SHUT_WR)
        case _:
            context.sock.sendall(struct.pack(">I", int(content.split()[-1])))


@then("its connection is closed")
def check_closed(context):
    assert context.sock.recv(1) == b""


@then("another peer still gets a response")
def check_other(context):
    sock = connect(context)
    sock.sendall(FETCH)
    assert read_frame(sock, "s0").unwrap().message.status == 200


@given("an address without a listener")
def reserve_address(context):
    # The socket stays bound, so that no other process can listen on its port.
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    context.add_cleanup(bound.close)
    context.address = bound.getsockname()


def start_client(context):
    context.errors = queue.Queue()
    client = StreamClient("b0", 1, lambda peer, envelope: None, context.errors.put)
    context.add_cleanup(client.stop)
    return client


@when("a message is sent there")
def send_to_closed_port(context):
    assert start_client(context).send("s9", context.address, Fetch()).is_ok()


@then('an error with step "{step}" and peer "{peer}" is reported')
def check_error(context, step, peer):
    error = context.errors.get(timeout=10.0)
    assert (error.step, error.peer) == (step, peer), error


@when("a message of {length:d} bytes is sent")
def send_long(context, length):
    client = start_client(context)
    message = Answer(1, b"", 200, bytes(length))
    assert len(encode("b0", 1, message)) > length
    context.error = client.send("s0", context.server.address, message).err()


@then('it is refused with step "{step}" and peer "{peer}"')
def check_refused(context, step, peer):
    assert (context.error.step, context.error.peer) == (step, peer), context.error


@when("a peer that does not read is sent more than its connection buffers")
def overfill_connection(context):
    sock = connect(context)
    sock.sendall(FETCH)
    assert context.responded.wait(10.0)
    message = Answer(1, b"", 200, bytes(100_000))
    for _ in range(2_000):
        context.error = context.server.send(context.peers[0], message).err()
        if context.error is not None:
            break
    sock.close()


@then('sending ends with step "{step}"')
def check_ended(context, step):
    assert context.error is not None
    assert context.error.step == step, context.error
