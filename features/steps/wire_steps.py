import random
import typing

import attrs
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleystair.wire import Envelope, Forward, Message, decode, encode

U8 = st.integers(0, 2**8 - 1)
TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=20)
SMALL_INTEGERS = {"hops": U8, "status": st.integers(0, 2**16 - 1)}
SCALARS = {
    int: st.integers(0, 2**32 - 1),
    bool: st.booleans(),
    str: TEXT,
    bytes: st.binary(max_size=200),
}


def build_strategy(kind):
    values = {}
    for name, annotation in typing.get_type_hints(kind).items():
        values[name] = build_field(name, annotation)
    return st.builds(kind, **values)


def build_field(name, annotation):
    if name in SMALL_INTEGERS:
        return SMALL_INTEGERS[name]
    if typing.get_origin(annotation) is not tuple:
        return SCALARS[annotation]
    element = typing.get_args(annotation)[0]
    if attrs.has(element):
        items = build_strategy(element)
    elif name == "buckets":
        items = st.integers(0, 15)
    else:
        items = SCALARS[element]
    return st.lists(items, max_size=4).map(tuple)


@when("generated messages of every kind are encoded and decoded")
def encode_and_decode(context):
    context.pairs = []

    @settings(max_examples=50)
    @given(
        st.tuples(*(build_strategy(kind) for kind in typing.get_args(Message))),
        TEXT,
    )
    def run(messages, sender):
        for message in messages:
            original = Envelope(sender, 7, message)
            context.pairs.append((original, decode(encode(sender, 7, message)).ok()))

    run()


@then("each decoded message equals the original")
def check_pairs(context):
    assert len(context.pairs) >= 50 * len(typing.get_args(Message))
    for original, decoded in context.pairs:
        assert original == decoded, (original, decoded)


@when("{count:d} random byte strings are decoded")
def decode_random(context, count):
    source = random.Random(1)
    context.results = [
        decode(source.randbytes(source.randrange(0, 300) // 8 * 8))
        for _ in range(count)
    ]


@then('each gives a message or an error with step "{step}"')
def check_errors(context, step):
    errors = [result.err() for result in context.results if result.is_err()]
    assert len(errors) > len(context.results) // 2
    assert all(error.step == step for error in errors)


@when("a forward is truncated at every length")
def truncate_forward(context):
    message = Forward(5, 7, b"\x11" + b"a" * 12, 1, False, b"x" * 600)
    context.original = Envelope("balancer-1", 7, message)
    data = encode("balancer-1", 7, message)
    context.results = [decode(data[:length]) for length in range(len(data))]


@then("no truncated forward is decoded as the original")
def check_truncated(context):
    assert context.results
    assert all(result.ok() != context.original for result in context.results)


@then("a forward truncated in its envelope or flow key is refused")
def check_refused(context):
    message = context.original.message
    data = encode("balancer-1", 7, message)
    needed = len(data) - len(message.packet)
    assert all(result.is_err() for result in context.results[:needed])


@when("generated forwards are encoded, have up to 3 bits flipped and are decoded")
def flip_bits(context):
    context.decoded = []
    positions = st.lists(st.tuples(st.integers(0, 200), st.integers(0, 7)), max_size=3)

    @settings(max_examples=600)
    @given(TEXT, build_strategy(Forward), positions)
    def run(sender, message, flips):
        data = bytearray(encode(sender, 7, message))
        for position, bit in flips:
            data[position % len(data)] ^= 1 << bit
        decoded = [decode(bytes(data)).ok() for _ in range(2)]
        context.decoded.append((bytes(data), *decoded))

    run()


@then("each decoded forward ends with the bytes received after its envelope")
def check_tail(context):
    decoded = [(data, first.message) for data, first, _ in context.decoded if first]
    forwards = [pair for pair in decoded if isinstance(pair[1], Forward)]
    assert len(forwards) > 200
    assert all(
        data.endswith(message.flow + message.packet) for data, message in forwards
    )


@then("a forward decoded twice gives the same result")
def check_twice(context):
    assert all(first == second for _, first, second in context.decoded)
