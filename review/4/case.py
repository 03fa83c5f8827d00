"""A zone is evacuated while the store loses its answers to one balancer."""

import sys
import time

from standins.fleet import BOUNDS, CannotRunError, Fleet, run_case

ZONES = ["zone-a", "zone-b", "zone-c"]
SERVICE = "feed"
# Of three balancers, one gets no answers: a share of 0.33 for 2 s. The site's doses are
# 0.35 for 4.5 s (`platform_lost`) and 0.33 for 9 s (`platform_down`, `nodes`).
LOSS_S = 2.0
EVACUATED, OTHER_ZONE = "zone-a", "zone-c"
FLOWS_PER_S = 8
SETTLE_S = 5.0
OBSERVED_S = 21.0


def main(folder, has_trouble):
    """Play the case and return what broke the rule, or None."""
    services = [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 2000}]
    services[0] |= {"Protocol": "h1", "Tls": False, "ColdStartS": 2.0, "ColdPerS": 0.0}
    fleet = Fleet(folder, ZONES, services)
    try:
        return play(fleet, has_trouble)
    finally:
        fleet.close()


def play(fleet, has_trouble):
    """Play the case on an empty fleet."""
    fleet.write_configuration(1, SERVICE)
    fleet.add_balancers(ZONES)
    for zone in ZONES:
        for number in (1, 2):
            name = f"side-{zone}-{number}"
            fleet.add_agent(name, zone, SERVICE)
            fleet.add_server(name)
    fleet.start_clients()
    fleet.wait_until_ready()
    time.sleep(2.0)
    for zone in ZONES:
        fleet.reactor.call(lambda zone=zone: open_flows(fleet, zone))
    time.sleep(SETTLE_S)
    # Another zone is evacuated and taken back, so that all balancers watch anew.
    fleet.store.put("evacuations", OTHER_ZONE, {})
    time.sleep(1.0)
    fleet.store.remove("evacuations", OTHER_ZONE)
    time.sleep(0.7)
    loss_end_s = 0.0
    if has_trouble:
        machine = f"edge-{EVACUATED}-1"
        fleet.store.lose_answers(machine, LOSS_S)
        loss_end_s = fleet.record("answers_are_lost", machine=machine) + LOSS_S
    time.sleep(0.3)
    fleet.store.put("evacuations", EVACUATED, {})
    acknowledged_s = fleet.record("evacuation_acknowledged", zone=EVACUATED)
    time.sleep(OBSERVED_S)
    end_s = fleet.record("end_of_observation")
    return judge(fleet, acknowledged_s, loss_end_s, end_s)


def open_flows(fleet, zone):
    """Open a flow with one request, again and again."""
    number = 0

    def handle(flow, event):
        if event == "opened":
            flow.send_request(f"{flow.name}#1")
        elif event == "answer":
            flow.close()

    def start():
        nonlocal number
        number += 1
        fleet.clients[zone].open_flow(handle)
        fleet.reactor.call_later(1 / FLOWS_PER_S, start)

    start()


def judge(fleet, acknowledged_s, loss_end_s, end_s):
    """EVAC: no flow reaches a server of the zone from a machine in touch."""
    record = fleet.record
    in_zone = {s.id for s in fleet.servers.values() if s.zone == EVACUATED}
    opened = {event["flow"]: event for event in record.select("open")}
    answers = record.select("answer")
    if len(answers) < 100 or not all(event["is_own"] for event in answers):
        raise CannotRunError(f"the clients got {len(answers)} answers")
    bound_s = acknowledged_s + BOUNDS["EvacuateMs"] / 1000
    in_touch_s = loss_end_s + BOUNDS["StableWindowMs"] / 1000
    accepted = [e for e in record.select("accepted") if e["server"] in in_zone]
    before = sum(event["t"] < acknowledged_s for event in accepted)
    if not before:
        raise CannotRunError("the zone had no flows before its evacuation")
    late = [event for event in accepted if bound_s < event["t"] < end_s]
    late = [event for event in late if opened[event["flow"]]["t"] > bound_s]
    in_touch = [event for event in late if event["t"] > in_touch_s]
    stretched_s = bound_s + BOUNDS["StretchMs"] / 1000
    later = [event for event in in_touch if event["t"] > stretched_s]
    through = sorted({opened[event["flow"]]["through"] for event in in_touch})
    record(
        "judgement",
        acknowledged_s=acknowledged_s,
        bound_s=bound_s,
        in_touch_s=in_touch_s,
        late=len(late),
        late_in_touch=len(in_touch),
        later_than_stretched=len(later),
        through=through,
    )
    if not in_touch:
        return None
    first, last = in_touch[0]["t"], in_touch[-1]["t"]
    return (
        f"EVAC: {len(in_touch)} flows reached servers of {EVACUATED} through {through}"
        f" {first - acknowledged_s:.1f} to {last - acknowledged_s:.1f} s after the"
        " acknowledgement"
    )


sys.exit(run_case(main))
