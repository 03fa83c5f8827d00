"""Choice of balancers by rendezvous hashing."""

from collections.abc import Iterable, Mapping

import xxhash

from bramleystair.tables import BalancerAnnouncement


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by descending rendezvous score for `key`."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return sorted(names, key=lambda name: _score(name, seed), reverse=True)


def find_highest_ranked(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest rendezvous score for `key`, or None."""
    seed = xxhash.xxh64_intdigest(key.encode())
    return max(names, key=lambda name: _score(name, seed), default=None)


def group_by_zone(nodes: Mapping[str, BalancerAnnouncement]) -> dict[str, list[str]]:
    """Return the names of `nodes`, grouped by availability zone."""
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
        Number of balancers to choose in the member's own zone and, again, in other
        zones. If one of the two has too few, more are taken from the other.

    Returns
    -------
    list of str
        Balancers of the member's own zone first, then those of the highest-ranked other
        zones. The zone is chosen before the node, so that the cost grows with the
        number of nodes in a zone rather than with the number of all nodes.
    """
    own = [node for node in rank_names(name, groups.get(zone, ())) if node != name]
    chosen = own[:count]
    for other in rank_names(name, (group for group in groups if group != zone)):
        missing = 2 * count - len(chosen)
        if missing == 0:
            break
        chosen += rank_names(name, groups[other])[: min(count, missing)]
    return chosen + own[count : 3 * count - len(chosen)]


def is_heartbeat_target(
    node: str,
    node_zone: str,
    member: str,
    zone: str,
    groups: Mapping[str, list[str]],
) -> bool:
    """Return whether `member` sends its heartbeats to `node`.

    The result is the same as that of `choose_balancers`, but with 15 availability zones
    of 80 balancers each, about 24 names are hashed instead of 174.
    """
    own = [name for name in groups.get(zone, ()) if name != member]
    others = [group for group in groups if group != zone]
    if not own or not others:
        return node in choose_balancers(member, zone, groups)
    if zone == node_zone:
        return find_highest_ranked(member, own) == node
    if find_highest_ranked(member, others) != node_zone:
        return False
    return find_highest_ranked(member, groups[node_zone]) == node


def choose_watchers(zone: str, names: Iterable[str], count: int) -> list[str]:
    """Return the balancers of `zone` that watch the platform for changes."""
    return rank_names("watch/" + zone, names)[:count]


def _score(name: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed)
