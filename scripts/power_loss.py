#!/usr/bin/env python3
"""Play losses of power with real processes and look for flows that were reset wrongly.

    python3 scripts/power_loss.py all|half [RUNS]

`all`: all VMs lose power; the callers of the dead flows have to be told. `half`:
another writer deletes the entries of two of four agents each second, while the other
two and all balancers lose power; no flow of a server that lived may be reset. Uses the
stand-ins of `review`. Exit status: 0 if all runs held, 1 if one did not, 2 if one could
not run.
"""

import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "review"))

from standins.fleet import CannotRunError, Fleet  # noqa: E402

ZONES = ["zone-a", "zone-b"]
SERVICE = "feed"
RESTART_DELAY_S = 0.5
FLOWS = 80
REQUEST_PERIOD_S = 5.0
DEADLINE_S = 8.0
DELETE_PERIOD_S = 1.0
MEMBER_KIND = "members"
ROSTER_COPIES = 3
ROSTER_TIMEOUT_S = 15.0
# Share of the callers of dead flows that have to be told before their deadlines.
TOLD_SHARE = 0.9


def run(case):
    """Play a case once, and return what broke, or None."""
    services = [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000}]
    services[0] |= {"Protocol": "h1", "Tls": False, "ColdStartS": 2.0, "ColdPerS": 0.0}
    with tempfile.TemporaryDirectory(prefix="power-loss-") as folder:
        fleet = Fleet(Path(folder), ZONES, services, RESTART_DELAY_S)
        try:
            return play(fleet, case)
        finally:
            fleet.close()


def play(fleet, case):
    """Play a case on an empty fleet."""
    fleet.write_configuration(1, SERVICE)
    fleet.add_balancers(["zone-a", "zone-a", "zone-b", "zone-b"])
    agents = [f"side-{zone}-{number}" for zone in ZONES for number in (1, 2)]
    for name in agents:
        fleet.add_agent(name, name[5:11], SERVICE)
        fleet.add_server(name, cold_s=2.0)
    fleet.start_clients()
    fleet.wait_until_ready()
    time.sleep(3.0)
    for number in range(FLOWS):
        zone = ZONES[number % 2]
        fleet.reactor.call(lambda zone=zone: open_flow(fleet, zone))
        time.sleep(0.02)
    time.sleep(2.0)
    wait_for_rosters(fleet)

    lost = agents if case == "all" else agents[2:]
    balancers = [name for name in fleet.nodes if name not in agents]
    stopped = threading.Event()
    if case == "half":
        kept = [fleet._agents[name][0] for name in agents[:2]]
        threading.Thread(
            target=delete, args=(fleet, kept, stopped), daemon=True
        ).start()
        time.sleep(3.0)
    dead = {fleet.servers[name].id for name in lost}
    lost_s = fleet.record("power_lost", machines=len(lost) + len(balancers))
    for name in [*balancers, *lost]:
        fleet.nodes[name].send(signal.SIGKILL)
    for name in lost:
        fleet.servers[name].close()
    time.sleep(RESTART_DELAY_S)
    for name in lost:
        fleet.add_server(name, cold_s=2.0)
    time.sleep(REQUEST_PERIOD_S + DEADLINE_S + 2.0)
    stopped.set()
    return judge(fleet, case, dead, lost_s)


def wait_for_rosters(fleet):
    """Wait until the balancers have written the rosters after their first start."""
    deadline_s = time.monotonic() + ROSTER_TIMEOUT_S
    while time.monotonic() < deadline_s:
        _, listing = fleet.store.handle(
            "GET", f"/bramleystair/objects/{MEMBER_KIND}", {}
        )
        names = [item["meta"]["Name"] for item in listing["items"]]
        if sum(name.startswith("roster-") for name in names) >= ROSTER_COPIES:
            time.sleep(1.0)
            return
        time.sleep(0.1)
    raise CannotRunError("the balancers have written no rosters")


def delete(fleet, names, stopped):
    """Delete the entries of agents again and again, as another writer."""
    while not stopped.wait(DELETE_PERIOD_S):
        for name in names:
            fleet.store.remove(MEMBER_KIND, name)


def open_flow(fleet, zone):
    """Open a flow and send a request again and again."""
    count = 0

    def send():
        nonlocal count
        if not flow.has_ended:
            count += 1
            flow.send_request(f"{flow.name}#{count}")

    def handle(_, event):
        if event == "opened":
            send()
        elif event == "answer":
            fleet.reactor.call_later(REQUEST_PERIOD_S, send)

    flow = fleet.clients[zone].open_flow(handle, deadline_s=DEADLINE_S)


def judge(fleet, case, dead, lost_s):
    """Return what broke, or None."""
    record = fleet.record
    owners = {e["flow"]: e["server"] for e in record.select("opened") if "server" in e}
    if len(owners) < FLOWS / 2:
        raise CannotRunError(f"{len(owners)} flows opened")
    resets = [e for e in record.select("reset") if e["is_of_system"] and e["was_open"]]
    wrong = [e for e in resets if owners.get(e["flow"]) not in dead]
    told = [e for e in resets if owners.get(e["flow"]) in dead and e["t"] > lost_s]
    expired = [e for e in record.select("expired") if owners.get(e["flow"]) in dead]
    live = [e for e in record.select("expired") if owners.get(e["flow"]) not in dead]
    waits = sorted(measure_wait(record, e) for e in told)
    print(
        f"{case}: {len(owners)} flows, {sum(s in dead for s in owners.values())} dead,"
        f" {len(told)} of these told, {len(expired)} expired; of live ones,"
        f" {len(wrong)} reset, {len(live)} expired; seconds from the last request to"
        f" the reset: {waits[len(waits) // 2] if waits else '-'} in the middle,"
        f" {waits[-1] if waits else '-'} at most",
        flush=True,
    )
    if wrong:
        return f"{len(wrong)} open flows of servers that lived were reset"
    if case == "all" and len(told) < TOLD_SHARE * (len(told) + len(expired)):
        return f"{len(expired)} callers of dead flows were not told"
    return None


def measure_wait(record, reset):
    """Return the seconds from the last request on a flow to its reset."""
    requests = [e["t"] for e in record.select("request") if e["flow"] == reset["flow"]]
    return round(reset["t"] - max(requests, default=reset["t"]), 3)


def main(case, runs=1):
    """Play a case some times, and return the exit status."""
    try:
        broken = [reason for _ in range(runs) if (reason := run(case))]
    except CannotRunError as error:
        print(f"could not run: {error}")
        return 2
    for reason in broken:
        print(f"broken: {reason}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], *(int(argument) for argument in sys.argv[2:])))
