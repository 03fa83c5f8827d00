"""Classes of the store's objects that each role uses, and their limits.

The limits are shares of the memory of the process. A node holds up to three copies of a
kind (see `Mirror`), of the configuration also the one that it is about to replace.
"""

from collections.abc import Mapping

from bramleystair.mirror import ObjectClass
from bramleystair.nodes._settings import EPOCH_KIND, MEMBER_KIND, NodeSettings
from bramleystair.steering import condense_entry, is_node_host

ObjectClasses = Mapping[str, tuple[ObjectClass, ...]]

# Longer than any entry that an agent can write: reports of its server are at most
# 64 KiB long, and escapes may take three times the space of their text.
MAX_ENTRY_BYTES = 262_144
# Longer than any part of a roster.
MAX_ROSTER_BYTES = 65_536
# Estimated memory of their parsed content: an entry has a few fields only, and a roster
# at most 768 hosts.
MAX_PARSED_ENTRY_BYTES = 4 * MAX_ENTRY_BYTES
MAX_PARSED_ROSTER_BYTES = 4 * MAX_ROSTER_BYTES
# Longest name of an availability zone.
MAX_ZONE_CHARACTERS = 255
# Shares of the memory of a process.
ENTRY_SHARE = 0.09
ROSTER_SHARE = 0.06
EVACUATION_SHARE = 0.01
PARSING_SHARE = 0.25
# The addresses of a roster are kept in sets beside the hosts.
ROSTER_FACTOR = 4


def build_balancer_classes(
    settings: NodeSettings, rules_kind: str, rules_name: str, evacuation_kind: str
) -> ObjectClasses:
    """Return the classes of the objects that a balancer uses, by kind.

    Parameters
    ----------
    rules_kind, rules_name : str
        Kind and name of the object that holds the configuration.
    evacuation_kind : str
        Kind of the objects that name the evacuated zones.
    """
    # Not imported by agents, whose callers wait for the imports after a power loss.
    from bramleystair.steering.balancer import condense_roster_copy, is_roster_name

    memory_bytes = settings.memory_bytes
    parsing_bytes = int(PARSING_SHARE * memory_bytes)
    roster = ObjectClass(
        accepts=is_roster_name,
        decode=condense_roster_copy,
        max_text_bytes=MAX_ROSTER_BYTES,
        max_parsed_bytes=MAX_PARSED_ROSTER_BYTES,
        max_memory_bytes=int(ROSTER_SHARE * memory_bytes),
        memory_factor=ROSTER_FACTOR,
    )
    entry = ObjectClass(
        accepts=is_node_host,
        decode=condense_entry,
        max_text_bytes=MAX_ENTRY_BYTES,
        max_parsed_bytes=MAX_PARSED_ENTRY_BYTES,
        max_memory_bytes=int(ENTRY_SHARE * memory_bytes),
    )
    rules = ObjectClass(
        accepts=lambda name: name == rules_name,
        max_text_bytes=settings.max_object_bytes,
        max_parsed_bytes=parsing_bytes,
    )
    evacuation = ObjectClass(
        accepts=lambda name: len(name) <= MAX_ZONE_CHARACTERS,
        uses_content=False,
        max_memory_bytes=int(EVACUATION_SHARE * memory_bytes),
    )
    return {
        MEMBER_KIND: (roster, entry),
        rules_kind: (rules,),
        evacuation_kind: (evacuation,),
    }


def build_agent_classes(settings: NodeSettings) -> ObjectClasses:
    """Return the classes of the objects that an agent uses: its own entry only."""
    host = settings.packet_address[0]
    own_entry = ObjectClass(
        accepts=lambda name: name == host,
        max_text_bytes=MAX_ENTRY_BYTES,
        max_parsed_bytes=MAX_PARSED_ENTRY_BYTES,
    )
    return {MEMBER_KIND: (own_entry,), EPOCH_KIND: ()}
