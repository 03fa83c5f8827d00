import json

import attrs
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleystair.tables import (
    AgentAnnouncement,
    AgentState,
    BalancerAnnouncement,
    Member,
    Protocol,
    Table,
    ZoneMark,
    build_key,
    decode_object,
    encode_object,
)

NAME = st.text("abcæ-/0", min_size=1, max_size=8)
COUNT = st.integers(0, 2**47 - 1)
LIMIT = st.integers(0, 2**32 - 1)
PORT = st.integers(0, 65_535)
WEIGHT = st.floats(0, 1e6)
MEMBER = st.builds(Member, NAME, NAME, WEIGHT, LIMIT, LIMIT)
OBJECTS = st.one_of(
    st.builds(
        Table,
        NAME,
        NAME,
        PORT,
        st.sampled_from(Protocol),
        st.lists(MEMBER, max_size=3).map(tuple),
        COUNT,
    ),
    st.builds(ZoneMark, NAME, st.booleans(), COUNT),
    st.builds(
        AgentAnnouncement,
        NAME,
        NAME,
        NAME,
        PORT,
        COUNT,
        st.sampled_from(AgentState),
        st.lists(NAME, max_size=3).map(tuple),
        COUNT,
    ),
    st.builds(BalancerAnnouncement, NAME, NAME, NAME, NAME, PORT, PORT, COUNT, COUNT),
)
ZONE_BODY = {"zone": "z0", "is_in_service": True}
MALFORMED = [
    ("zone/z0", b""),
    ("zone/z0", b"\xff"),
    ("zone/z0", b"[]"),
    ("zone/z0", b"{}"),
    ("zone/z1", json.dumps(ZONE_BODY).encode()),
    ("zones/z0", json.dumps(ZONE_BODY).encode()),
    ("table/feed", json.dumps(ZONE_BODY).encode()),
    ("", b"{}"),
    ("zone/z0", b"[" * 100_000),
]
MEMBER_BODY = {
    "server": "s",
    "zone": "z",
    "weight": 1,
    "max_flows": 1,
    "max_requests": 1,
}
TABLE_BODY = {"service": "feed", "address": "10.0.0.1", "port": 443, "protocol": 6}
AGENT_BODY = {
    "server": "s",
    "zone": "z",
    "host": "10.0.0.1",
    "port": 1,
    "incarnation": 1,
}
BALANCER_BODY = AGENT_BODY | {"node": "b", "region": "r", "http_port": 1}
# Values of the right type that no address, message or version can hold.
OUT_OF_RANGE = [
    ("table/feed", TABLE_BODY | {"members": [MEMBER_BODY | change]})
    for change in (
        {"weight": float("inf")},
        {"weight": float("nan")},
        {"weight": -1},
        {"max_flows": -1},
        {"max_flows": 2**32},
        {"max_requests": 1e999},
        {"zone": "\ud800"},
    )
] + [
    ("table/feed", TABLE_BODY | {"members": [], "port": 70_000}),
    ("agent/s", AGENT_BODY | {"port": 70_000}),
    ("agent/s", AGENT_BODY | {"port": -1}),
    ("agent/s", AGENT_BODY | {"incarnation": 2**47}),
    ("agent/s", AGENT_BODY | {"version": 2**63}),
    ("agent/s", AGENT_BODY | {"services": ["\udfff"]}),
    ("balancer/b", BALANCER_BODY | {"http_port": 70_000}),
    ("balancer/b", BALANCER_BODY | {"incarnation": -1}),
]


@when("generated objects of every type are encoded and decoded")
def encode_and_decode(context):
    context.pairs = []

    @settings(max_examples=200)
    @given(OBJECTS)
    def run(item):
        body = encode_object(item)
        context.pairs.append((item, decode_object(build_key(item), body).ok()))

    run()


@then(
    "each decoded object equals the original apart from a version that the platform"
    " assigns"
)
def check_round_trips(context):
    assert len({type(item) for item, _ in context.pairs}) == 4
    for item, found in context.pairs:
        if isinstance(item, (Table, ZoneMark)):
            item = attrs.evolve(item, version=0)
        assert found == item, (item, found)


@when("malformed bodies are decoded")
def decode_malformed(context):
    context.results = [decode_object(key, body) for key, body in MALFORMED]


@when("bodies with values out of range are decoded")
def decode_out_of_range(context):
    context.results = [
        decode_object(key, json.dumps(body).encode()) for key, body in OUT_OF_RANGE
    ]


@then("each body without such a value is decoded")
def check_valid_bodies(context):
    bodies = {
        "table/feed": TABLE_BODY | {"members": [MEMBER_BODY]},
        "agent/s": AGENT_BODY,
        "balancer/b": BALANCER_BODY,
    }
    for key, body in bodies.items():
        assert decode_object(key, json.dumps(body).encode()).is_ok(), key


@then('each gives an error with step "{step}"')
def check_errors(context, step):
    for result in context.results:
        assert result.is_err() and result.err().step == step, result
