"""Balancers are added in front of a service with few servers."""

import asyncio
import collections
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import SERVICE_HOST, Deployment, run_case

BALANCERS, ADDED = 60, 40
SESSIONS, REQUESTS, PAUSE_S = 60, 12, 1.0
# A caller's deadline, above any delay of this load.
ANSWER_S = 3.0
CALM_S, AFTER_S = 8.0, 20.0


async def main(folder: Path, has_trouble: bool) -> bool:
    """Return whether the system reset a flow whose server lives."""
    zones = {"a": (BALANCERS + ADDED, 2)}
    deployment = Deployment(folder, zones, {"slots": 5, "work_s": 0.01})
    names = [balancer.name for balancer in deployment.router.balancers]
    later = frozenset(names[BALANCERS:])
    try:
        await deployment.start(later)
        sessions = [
            asyncio.create_task(hold_sessions(deployment)) for _ in range(SESSIONS)
        ]
        await asyncio.sleep(CALM_S)
        if has_trouble:
            deployment.record("added", count=ADDED)
            for name in sorted(later):
                deployment.programs[name].start()
        await asyncio.sleep(AFTER_S)
        for task in sessions:
            task.cancel()
        return judge(deployment)
    finally:
        deployment.stop()


async def hold_sessions(deployment: Deployment) -> None:
    """Hold one flow after the other, with requests and pauses."""
    clients = deployment.clients["a"]
    while True:
        await clients.hold_session(
            f"s{random.randrange(10**9)}",
            (SERVICE_HOST, 443),
            REQUESTS,
            PAUSE_S,
            ANSWER_S,
        )
        await asyncio.sleep(0.2)


def judge(deployment: Deployment) -> bool:
    """Count open flows that the system has reset; no server ends in the run."""
    events = deployment.record.events
    opened = {e["flow"].split(">")[0] for e in events if e["event"] == "flow_open"}
    outcomes = collections.Counter()
    resets = 0
    for event in events:
        if event["event"] != "session ended":
            continue
        outcomes[event["outcome"]] += 1
        if event["outcome"] == "system reset":
            host = deployment.clients["a"].host
            resets += f"{host}:{event['sport']}" in opened
    ready = sum(b.is_in_rotation for b in deployment.router.balancers)
    deployment.record("judged", resets=resets, outcomes=dict(outcomes), ready=ready)
    print(
        f"{resets} open flows reset by the system; sessions: {dict(outcomes)}; "
        f"{ready} balancers in rotation"
    )
    return resets > 0


run_case(main, Path(__file__).resolve().parent)
