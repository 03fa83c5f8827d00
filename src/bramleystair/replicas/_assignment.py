"""Choice of balancers by rendezvous order."""

from collections.abc import Iterable, Mapping

import xxhash

from bramleystair.tables import NodeAnnouncement


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in descending rendezvous order for `key`."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return sorted(names, key=lambda name: _score(name, seed), reverse=True)


def find_first(key: str, names: Iterable[str]) -> str | None:
    """Return the first of `names` in rendezvous order for `key`, or None."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return max(names, key=lambda name: _score(name, seed), default=None)


def group_by_zone(nodes: Mapping[str, NodeAnnouncement]) -> dict[str, list[str]]:
    """Return the names of `nodes` by availability zone."""
    groups: dict[str, list[str]] = {}
    for name, node in nodes.items():
        groups.setdefault(node.zone, []).append(name)
    return groups


def choose_balancers(
    name: str, zone: str, groups: Mapping[str, list[str]], count: int = 1
) -> list[str]:
    """Return the balancers to which the member `name` sends heartbeats.

    Parameters
    ----------
    name, zone : str
        The member and its availability zone.
    groups : mapping of str to list of str
        Live balancers by availability zone.
    count : int
        How many to choose in the member's own zone, and as many elsewhere; where one
        side has too few, the other makes up for it.

    Returns
    -------
    list of str
        First those of the own zone, then those of the first other zones in rendezvous
        order. The zone is chosen before the node, so the work grows with the nodes of
        a zone and not with all nodes.
    """
    own = [node for node in rank_names(name, groups.get(zone, ())) if node != name]
    chosen = own[:count]
    for other in rank_names(name, (group for group in groups if group != zone)):
        missing = 2 * count - len(chosen)
        if missing == 0:
            break
        chosen += rank_names(name, groups[other])[: min(count, missing)]
    return chosen + own[count : 3 * count - len(chosen)]


def is_chosen(
    node: str,
    node_zone: str,
    member: str,
    zone: str,
    groups: Mapping[str, list[str]],
) -> bool:
    """Return whether `node` is among the balancers that `member` chooses.

    It gives the same answer as `choose_balancers`, but hashes about 24 names instead of
    174 at 15 availability zones with 80 balancers each.
    """
    own = [name for name in groups.get(zone, ()) if name != member]
    others = [group for group in groups if group != zone]
    if not own or not others:
        return node in choose_balancers(member, zone, groups)
    if zone == node_zone:
        return find_first(member, own) == node
    if find_first(member, others) != node_zone:
        return False
    return find_first(member, groups[node_zone]) == node


def choose_watchers(zone: str, names: Iterable[str], count: int) -> list[str]:
    """Return the balancers of `zone` that watch the platform."""
    return rank_names("watch/" + zone, names)[:count]


def _score(name: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed)
