"""Flow steering: balancers choose the owner of each flow, agents admit flows.

Balancers only cache the owners. The agent on the VM of a backend server admits flows
and is the authority on which flows its server holds. The logic of the two roles is in
`steering.agent` and `steering.balancer`; a process imports only one of them.
"""

from bramleystair.steering._actions import (
    Action,
    ConfirmMembers,
    Decision,
    DeliverToCaller,
    DeliverToServer,
    ResetCaller,
    SendMessage,
)
from bramleystair.steering._entries import decode_entry, encode_entry
from bramleystair.steering._messages import (
    DeclineSlot,
    LoadReport,
    LookupProbe,
    LookupReply,
    LookupRequest,
    Message,
    OfferSlot,
    OpenFlow,
    OpenReply,
    Ownership,
    Refusal,
    Relay,
    ReturnPacket,
    StoreRestored,
    Subscribe,
    decode_message,
    encode_bundle,
    encode_message,
    split_bundle,
)
from bramleystair.steering._segments import Segment, get_service_endpoint
from bramleystair.steering._types import (
    Load,
    MemberEntry,
    Route,
    RoutingRules,
    ServerReport,
    ServerState,
    ServiceLevel,
    ServiceLimits,
    Target,
    Urgency,
)

__all__ = [
    "Action",
    "ConfirmMembers",
    "Decision",
    "DeclineSlot",
    "DeliverToCaller",
    "DeliverToServer",
    "LookupRequest",
    "LookupReply",
    "Load",
    "LoadReport",
    "MemberEntry",
    "Message",
    "OfferSlot",
    "OpenFlow",
    "OpenReply",
    "Ownership",
    "Refusal",
    "Relay",
    "ResetCaller",
    "ReturnPacket",
    "Route",
    "RoutingRules",
    "Segment",
    "SendMessage",
    "ServerReport",
    "ServerState",
    "ServiceLevel",
    "ServiceLimits",
    "StoreRestored",
    "Subscribe",
    "Target",
    "LookupProbe",
    "Urgency",
    "decode_entry",
    "decode_message",
    "encode_bundle",
    "encode_entry",
    "encode_message",
    "get_service_endpoint",
    "split_bundle",
]
