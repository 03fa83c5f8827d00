"""Constants of the flow decisions, as settings of the agent."""

import attrs


@attrs.frozen
class FlowSettings:
    """Limits and intervals of the flow controller."""

    max_hops: int = 4
    query_timeout_s: float = 1.0
    change_window_s: float = 10.0
    queue_packets_per_flow: int = 8
    queue_flows: int = 4096
    load_fresh_s: float = 3.0
    place_margin: float = 0.03
    silence_s: float = 20.0
    silence_packets: int = 3
    initial_fraction: float = 0.1
    warm_up_s: float = 60.0
    max_new_flows_per_s: float = 200.0
    place_retry_s: float = 0.25
    place_timeout_s: float = 3.0
    half_open_idle_s: float = 60.0
