"""Another writer leaves large entries of another type among those of the agents."""

import asyncio
import collections
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import LIMITS, SERVICE_HOST, Deployment, run_case

# Kind of the agents' entries.
KIND = "members"
# Largest object of the store (`ValueBytes`).
VALUE_BYTES = 1_048_576
ENTRIES, WRITE_GAP_S = 14, 0.5
REQUESTS_PER_S, DEADLINE_S = 30, 3.0
CALM_S, AFTER_S = 5.0, 25.0
CHECK_S, RESTART_DELAY_S = 0.05, 0.5
# Processes of two machines end three times each.
ENDS, MACHINES = 3, 2


async def main(folder: Path, has_trouble: bool) -> bool:
    """Return whether processes end by themselves three times on two machines."""
    zones = {"a": (2, 2), "b": (2, 2)}
    deployment = Deployment(folder, zones, {"slots": 3, "work_s": 0.02})
    try:
        await deployment.start()
        tasks = [
            asyncio.create_task(send_requests(deployment)),
            asyncio.create_task(limit_memory(deployment)),
        ]
        await asyncio.sleep(CALM_S)
        if has_trouble:
            await write_entries(deployment)
        else:
            await asyncio.sleep(ENTRIES * WRITE_GAP_S)
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
        return judge(deployment)
    finally:
        deployment.stop()


async def write_entries(deployment: Deployment) -> None:
    """Write entries whose field `state` is of another type, each below the limit."""
    state = [{}] * ((VALUE_BYTES - 100) // len("{},"))
    entry = {"state": state}
    size = len(json.dumps(entry, separators=(",", ":")))
    for number in range(ENTRIES):
        await deployment.store.write(KIND, f"other-{number}", entry)
        deployment.record("written", name=f"other-{number}", bytes=size)
        await asyncio.sleep(WRITE_GAP_S)


async def limit_memory(deployment: Deployment) -> None:
    """Kill a process that exceeds its memory, and restart it, as the platform does."""
    back_s: dict[str, float] = {}
    while True:
        for name, program in deployment.programs.items():
            if name in back_s:
                if time.monotonic() >= back_s[name]:
                    del back_s[name]
                    program.start()
                continue
            used_mb = program.read_memory_mb()
            limit_mb = LIMITS[name.split("-")[0]]["MemoryMb"]
            if used_mb > limit_mb:
                program.process.kill()
                await program.wait(5)
                deployment.record("killed", machine=name, used_mb=round(used_mb))
            elif program.process.poll() is not None:
                deployment.record("ended", machine=name, request="", outcome="exit")
            else:
                continue
            back_s[name] = time.monotonic() + RESTART_DELAY_S
        await asyncio.sleep(CHECK_S)


async def send_requests(deployment: Deployment) -> None:
    """Send requests at a steady rate, each on a flow of its own."""
    running = set()
    while True:
        clients = random.choice(list(deployment.clients.values()))
        name = f"q{random.randrange(10**9)}"
        request = clients.request(name, (SERVICE_HOST, 443), DEADLINE_S)
        task = asyncio.create_task(request)
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


def judge(deployment: Deployment) -> bool:
    """Count the ends of processes by machine, and the requests served at the end."""
    events = deployment.record.events
    ends = collections.Counter(e["machine"] for e in events if e["event"] == "killed")
    last_s = events[-1]["s"]
    sent = {
        e["request"]
        for e in events
        if e["event"] == "sent" and last_s - 13 < e["s"] < last_s - DEADLINE_S
    }
    served = sum(
        e["event"] == "ended" and e["outcome"] == "answered" and e["request"] in sent
        for e in events
    )
    deployment.record("judged", ends=dict(ends), sent=len(sent), served=served)
    print(
        f"ends by memory: {dict(ends)}; of {len(sent)} last requests, "
        f"{served} were served"
    )
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


run_case(main, Path(__file__).resolve().parent)
