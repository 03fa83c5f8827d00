"""Choice of the member that takes a new flow."""

from collections.abc import Sequence

import attrs


@attrs.frozen
class Load:
    """Flows and limit of one member, as known where a flow is placed."""

    server: str
    weight: float
    flows: int
    limit: int


def compute_shares(loads: Sequence[Load], total: float) -> dict[str, float]:
    """Return the flows that each member should hold of `total`.

    Shares are proportional to the weights. What exceeds a member's limit is divided
    among the members below their limits, again by weight.
    """
    shares: dict[str, float] = {}
    open_loads = [load for load in loads if load.weight > 0]
    rest = total
    while open_loads:
        unit = rest / sum(load.weight for load in open_loads)
        full = [load for load in open_loads if load.limit < unit * load.weight]
        if not full:
            shares.update((load.server, unit * load.weight) for load in open_loads)
            break
        for load in full:
            shares[load.server] = load.limit
            rest -= load.limit
        open_loads = [load for load in open_loads if load not in full]
    return shares


def rank_targets(
    home: str, considered: Sequence[str], loads: Sequence[Load], margin: float
) -> list[str]:
    """Return the members to try for one new flow, the preferred one first.

    Parameters
    ----------
    home : str
        Preferred unless another is lower by more than `margin`.
    considered : sequence of str
        The home, if it may take the flow, and the candidates drawn for comparison.
    loads : sequence of Load
        Loads of all members, from which the shares follow.
    margin : float
        Relative difference in flows per share that the home tolerates.
    """
    shares = compute_shares(loads, sum(load.flows for load in loads) + 1)
    by_server = {load.server: load for load in loads}
    ratios = {}
    for server in considered:
        load = by_server[server]
        if load.flows >= load.limit or shares.get(server, 0) <= 0:
            ratios[server] = float("inf")
            continue
        ratios[server] = (load.flows + 1) / shares[server]
    ranked = sorted(considered, key=ratios.__getitem__)
    if home in ratios and ratios[home] <= ratios[ranked[0]] * (1 + margin):
        ranked.remove(home)
        ranked.insert(0, home)
    return ranked
