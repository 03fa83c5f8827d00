"""Lookup of flow owners that are not in a balancer's cache.

Runs in the balancer process; the counterpart is the agent of each member, which answers
the queries in `steering.agent`.
"""

import bisect
import heapq
from collections.abc import Callable

from bramleystair.steering._balancer_settings import BalancerSteeringSettings
from bramleystair.steering._confirmations import Confirmations
from bramleystair.steering._flow_ranking import compute_rank
from bramleystair.steering._lookup import Lookup, LookupPauses
from bramleystair.steering._members import Members
from bramleystair.steering._messages import (
    TOKEN_MODULUS,
    LookupProbe,
    LookupReply,
    LookupRequest,
    Ownership,
    Relay,
)
from bramleystair.steering._outbox import Outbox
from bramleystair.steering._reset_evidence import (
    FormerOwner,
    FormerOwners,
    Gap,
    find_gap,
    list_estimates,
)
from bramleystair.steering._segments import Segment
from bramleystair.steering._types import Address, Route

# An IPv4 header of 20 bytes and a UDP header of 8 bytes.
IP_UDP_HEADER_BYTES = 28
# One lookup request in a datagram of several messages, see `encode_bundle`: a length
# byte, then message kind (1), token (4), flow (12) and acknowledgement (4).
QUERY_BYTES = 22
# What a lookup probe adds to its packet: the headers, message kind (1) and token (4).
PROBE_HEADER_BYTES = IP_UDP_HEADER_BYTES + 5


class OwnerLookups:
    """Query the members for the owners of flows, at a limited rate.

    That no member claims a flow does not show that it has no owner: the owner's member
    may be missing in the store, or be silent. `steering._reset_evidence` tells when the
    caller is reset.

    Parameters
    ----------
    settings : BalancerSteeringSettings
        Retry delays and limits.
    members : Members
        Members to query.
    outbox : Outbox
        Receives queries, relayed packets and resets.
    initial_token : int
        Start of the sequence of tokens; the first lookup gets the one after it.
    find_route : callable
        Returns the route of a flow, or None.
    on_found : callable
        Called with the packet, the owner, the time and whether it is certain, once the
        owner is known.
    """

    def __init__(
        self,
        settings: BalancerSteeringSettings,
        members: Members,
        outbox: Outbox,
        initial_token: int,
        find_route: Callable[[bytes], Route | None],
        on_found: Callable[[Segment, Address, float, bool], None],
    ) -> None:
        self._settings = settings
        self._members = members
        self._outbox = outbox
        self._last_token = initial_token
        self._find_route = find_route
        self._on_found = on_found
        self._lookups: dict[bytes, Lookup] = {}
        # Lookups that found no owner. They wait here for the confirmation that the set
        # of members is complete, so that no unknown member can own the flow.
        self._unconfirmed: dict[bytes, Lookup] = {}
        self._flows_by_token: dict[int, bytes] = {}
        # Latest packet of each flow whose lookup has not started, and the member that
        # is known not to be the owner.
        self._queued_packets: dict[bytes, tuple[Segment, Address | None]] = {}
        self._pauses = LookupPauses(settings.max_lookup_pause_s)
        self._former_owners = FormerOwners()
        self._confirmations = Confirmations(outbox, settings.evidence_interval_s)
        self._timers: list[tuple[float, int, bytes]] = []
        self._next_start_s = 0.0
        # Time from which a lookup that ends without a reset requests a confirmation.
        self._next_confirmation_s = float("-inf")

    @property
    def due_s(self) -> float:
        """Time at which `run_timers` has to be called next."""
        due_s = self._timers[0][0] if self._timers else float("inf")
        if self._queued_packets and len(self._lookups) < self._settings.max_lookups:
            due_s = min(due_s, self._next_start_s)
        return min(due_s, self._confirmations.due_s)

    def run_timers(self, now: float) -> None:
        """Retry or end the lookups that are due, and start queued ones."""
        while self._timers and self._timers[0][0] <= now:
            due_s, token, flow = self._timers.pop(0)
            lookup = self._get(flow)
            if lookup is None or (lookup.due_s, lookup.token) != (due_s, token):
                continue
            if flow in self._lookups:
                self._handle_timeout(lookup, now)
            else:
                # A member unknown to this balancer may own the flow.
                gap = self._find_gap(lookup, now) or Gap.UNCONFIRMED
                self._end_unanswered(lookup, now, "unconfirmed", gap)
        self._confirmations.run_timers(now)
        if self._queued_packets and now >= self._next_start_s:
            self._start_queued(now)

    def handle_members_confirmed(self, now: float) -> None:
        """Resume the lookups that waited, now that the set of members is confirmed.

        Each lookup queries the members that it has not queried yet. If there are none,
        it ends without an owner, or waits for the next confirmation if it started after
        the call for this one.
        """
        self._confirmations.record()
        unconfirmed, self._unconfirmed = self._unconfirmed, {}
        for flow, lookup in unconfirmed.items():
            lookup.are_members_confirmed = True
            self._lookups[flow] = lookup
            self._advance(lookup, now)

    def purge(self, oldest_s: float, now: float) -> None:
        """Remove ended pauses, and former owners from before `oldest_s`."""
        self._pauses.purge(now)
        self._former_owners.purge(oldest_s)

    def record_former_owner(
        self, segment: Segment, address: Address, now: float
    ) -> None:
        """Record that the server of a member returned a packet of a flow it held."""
        self._former_owners.record(segment, address, now)

    def forget(self, flow: bytes) -> None:
        """Discard what concerns an earlier flow of the same addresses and ports."""
        lookup = self._get(flow)
        if lookup is not None:
            self._remove(lookup)
        self._queued_packets.pop(flow, None)
        self._pauses.end(flow)
        self._former_owners.forget(flow)

    def look_up(
        self, segment: Segment, now: float, non_owner: Address | None = None
    ) -> None:
        """Look up the owner of a packet's flow.

        Parameters
        ----------
        non_owner : address or None
            Member known not to be the owner.
        """
        flow = segment.flow
        lookup = self._get(flow)
        if lookup is not None:
            if len(lookup.packets) < self._settings.lookup_packets:
                lookup.packets.append(segment.data)
            return
        if self._pauses.is_paused(flow, now):
            self._outbox.count("packet_dropped", "lookup_unanswered")
            return
        is_free = len(self._lookups) < self._settings.max_lookups
        if is_free and not self._queued_packets and now >= self._next_start_s:
            self._start(segment, non_owner, now)
            self._charge_queries(1, now)
        elif (
            len(self._queued_packets) < self._settings.max_pending
            or flow in self._queued_packets
        ):
            _, known_non_owner = self._queued_packets.get(flow, (None, None))
            self._queued_packets[flow] = segment, non_owner or known_non_owner
        else:
            self._outbox.count("packet_dropped", "lookups")

    def _get(self, flow: bytes) -> Lookup | None:
        return self._lookups.get(flow) or self._unconfirmed.get(flow)

    def _start_queued(self, now: float) -> None:
        free = self._settings.max_lookups - len(self._lookups)
        count = min(self._settings.lookup_batch, free, len(self._queued_packets))
        for _ in range(count):
            flow = next(iter(self._queued_packets))
            segment, non_owner = self._queued_packets.pop(flow)
            self._start(segment, non_owner, now)
        self._charge_queries(count, now)

    def _charge_queries(self, count: int, now: float) -> None:
        """Delay the next lookups by the time to send queries to subscribed members.

        Each member is sent `count` queries in one datagram.
        """
        subscribed = len(self._members.list_subscribed())
        self._reserve_bandwidth(
            subscribed * (IP_UDP_HEADER_BYTES + count * QUERY_BYTES), now
        )

    def _reserve_bandwidth(self, byte_count: int, now: float) -> None:
        """Delay the next lookups by the time to send bytes at the rate limit."""
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + byte_count / self._settings.lookup_bytes_per_s

    def _start(self, segment: Segment, non_owner: Address | None, now: float) -> None:
        flow = segment.flow
        if self._members.is_roster_complete(now):
            # The evidence includes the answer of each member.
            non_owner = None
        first, *later = self._plan_stages(flow, non_owner) or [set()]
        token = self._create_token(flow)
        lookup = Lookup(segment, token, now, [segment.data], first, tuple(later))
        if non_owner is not None:
            lookup.queried_or_excluded.add(non_owner)
        self._lookups[flow] = lookup
        self._send_queries(lookup, now)
        self._advance(lookup, now)

    def _plan_stages(
        self, flow: bytes, non_owner: Address | None
    ) -> list[set[Address]]:
        """Return the members in the order in which they are queried.

        Subscribed members own most flows. The route may have been moved to other
        services since the flow was opened, so members of other services are last.
        """
        services = self._list_services(flow)
        subscribed, unsubscribed, other_services = set(), set(), set()
        for member in self._members:
            if member.entry.service not in services:
                other_services.add(member.entry.address)
            elif member.is_subscribed:
                subscribed.add(member.entry.address)
            else:
                unsubscribed.add(member.entry.address)
        stages = (
            stage - {non_owner} for stage in (subscribed, unsubscribed, other_services)
        )
        return [stage for stage in stages if stage]

    def _send_queries(self, lookup: Lookup, now: float) -> None:
        segment = lookup.segment
        lookup.queried_or_excluded |= lookup.outstanding
        for address in lookup.outstanding:
            self._members.record_request_sent(address, now)
            if address in lookup.unsure_members:
                lookup.probed_members.add(address)
                self._outbox.send(address, LookupProbe(lookup.token, segment.data))
                self._reserve_bandwidth(PROBE_HEADER_BYTES + len(segment.data), now)
                continue
            # The acknowledgement tells whether a half-open flow is another server's.
            message = LookupRequest(lookup.token, segment.flow, segment.acknowledgement)
            self._outbox.send(address, message)
        self._schedule(lookup, now + self._settings.lookup_delays_s[lookup.retries])

    def _schedule(self, lookup: Lookup, due_s: float) -> None:
        lookup.due_s = due_s
        bisect.insort(self._timers, (due_s, lookup.token, lookup.segment.flow))

    def _handle_timeout(self, lookup: Lookup, now: float) -> None:
        if lookup.remaining_stages:
            # A slow or lost member must not delay the queries to the others.
            self._add_targets(lookup, set().union(*lookup.remaining_stages), now)
            lookup.remaining_stages = ()
        lookup.retries += 1
        if lookup.retries < len(self._settings.lookup_delays_s):
            self._send_queries(lookup, now)
            return
        lookup.unresponsive_count += self._count_outstanding(lookup, now)
        self._record_silent_members(lookup, now)
        lookup.outstanding.clear()
        lookup.retries = 0
        self._advance(lookup, now)

    def handle_reply(self, sender: Address, message: LookupReply, now: float) -> None:
        """Record a member's reply to a query or probe, and continue the lookup."""
        self._members.record_message(sender, now)
        flow = self._flows_by_token.get(message.token)
        lookup = None if flow is None else self._get(flow)
        if lookup is None or lookup.token != message.token:
            return
        lookup.record_answer(sender, message.ownership)
        if message.ownership is Ownership.CERTAIN:
            self._complete(lookup, sender, "certain", now)
            return
        if flow in self._unconfirmed:
            # A member that counted as lost replied after all. A likely owner is not
            # enough: the confirmation may add a member that is certain.
            return
        lookup.outstanding.discard(sender)
        self._advance(lookup, now)

    def _advance(self, lookup: Lookup, now: float) -> None:
        """Start the next step of a lookup once no reply is outstanding."""
        if self._count_outstanding(lookup, now):
            return
        self._record_silent_members(lookup, now)
        lookup.outstanding.clear()
        if lookup.remaining_stages:
            # Query all members before a probe: one may be certain, and a server that is
            # slow to return the probe's packet would count as the likely owner.
            stage, *later = lookup.remaining_stages
            lookup.remaining_stages = tuple(later)
            self._add_targets(lookup, stage, now)
        elif lookup.likely_owner is not None:
            self._complete(lookup, lookup.likely_owner, "likely", now)
            return
        elif unprobed := self._list_unprobed(lookup):
            lookup.outstanding = unprobed
        elif lookup.unsure_members - lookup.probed_members:
            self._end_unanswered(lookup, now, "unanswered", Gap.MEMBER_SILENT)
            return
        elif unqueried := self._list_unqueried(lookup):
            lookup.outstanding = unqueried
        else:
            self._end_without_owner(lookup, now)
            return
        lookup.retries = 0
        self._send_queries(lookup, now)

    def _record_silent_members(self, lookup: Lookup, now: float) -> None:
        """Record whether a member has not replied that may be restarting."""
        oldest_s = now - self._settings.restart_s
        members = (self._members.get(address) for address in lookup.outstanding)
        lookup.is_member_silent |= any(
            member is not None and member.last_heard_s > oldest_s for member in members
        )

    def _list_unprobed(self, lookup: Lookup) -> set[Address]:
        """Return the unsure members that are probed next, the most likely owners first.

        Each probe carries a whole packet, so that probes of all members at once would
        fill the link. While the owner may be a member that does not reply, one probe is
        sent in a lookup: packets of a flow must not reach many other servers and none
        its own.
        """
        unprobed = lookup.unsure_members - lookup.probed_members
        count = self._settings.probe_batch
        if lookup.is_member_silent:
            count = 0 if lookup.probed_members else 1
        if len(unprobed) <= count:
            return unprobed
        flow = lookup.segment.flow
        services = self._list_services(flow)

        def rank(address: Address) -> tuple[bool, bool, int]:
            member = self._members.get(address)
            return (
                member is not None and member.entry.service in services,
                member is not None and member.is_subscribed,
                compute_rank(flow, address),
            )

        return set(heapq.nlargest(count, unprobed, key=rank))

    def _list_services(self, flow: bytes) -> set[str]:
        """Return the services to which the route of a flow leads."""
        route = self._find_route(flow)
        return {target.service for target in route.targets} if route else set()

    def _add_targets(self, lookup: Lookup, addresses: set[Address], now: float) -> None:
        """Add members to the outstanding ones and reserve bandwidth for the queries."""
        lookup.outstanding |= addresses
        self._reserve_bandwidth(len(addresses) * QUERY_BYTES, now)

    def _end_without_owner(self, lookup: Lookup, now: float) -> None:
        gap = self._find_gap(lookup, now)
        is_denied_by_all = gap in (None, Gap.UNCONFIRMED)
        is_unknown = not len(self._members) or self._members.may_be_incomplete(now)
        if not is_denied_by_all and (lookup.unresponsive_count or is_unknown):
            self._end_unanswered(lookup, now, "unanswered", gap)
            return
        former = self._former_owners.get(lookup.segment)
        if (
            gap is Gap.ESTIMATE_ONLY
            and former is None
            and self._probe_estimates(lookup)
        ):
            lookup.retries = 0
            self._send_queries(lookup, now)
            return
        flow = lookup.segment.flow
        self._remove(lookup)
        if self._must_confirm_members(lookup, former, gap, now):
            self._unconfirmed[flow] = lookup
            self._flows_by_token[lookup.token] = flow
            self._schedule(lookup, now + self._settings.confirm_timeout_s)
        elif former is not None:
            self._end_with_reset(lookup, "no_owner", now, agent=former.address[0])
        elif gap is None:
            self._end_with_reset(lookup, "never_held", now, **lookup.count_evidence())
        else:
            self._end_unanswered(lookup, now, "no_owner_found", gap)

    def _find_gap(self, lookup: Lookup, now: float) -> Gap | None:
        confirmed_s = self._confirmations.confirmed_s
        return find_gap(
            lookup.answers, self._members, lookup.started_s, confirmed_s, now
        )

    def _probe_estimates(self, lookup: Lookup) -> bool:
        """Make all members that deny the flow by an estimate outstanding for a probe.

        Return whether there are any, and they are few.
        """
        estimates = list_estimates(lookup.answers, self._members)
        if len(estimates) > self._settings.max_estimate_probes:
            return False
        lookup.outstanding = estimates - lookup.probed_members
        lookup.unsure_members |= lookup.outstanding
        return bool(lookup.outstanding)

    def _end_with_reset(
        self, lookup: Lookup, reason: str, now: float, **inputs: object
    ) -> None:
        self._former_owners.forget(lookup.segment.flow)
        self._outbox.count("lookup_ended", reason)
        self._outbox.reset_caller(
            lookup.segment,
            reason,
            asked=len(lookup.queried_or_excluded),
            members=len(self._members),
            seconds=round(now - lookup.started_s, 3),
            **inputs,
        )

    def _must_confirm_members(
        self,
        lookup: Lookup,
        former: FormerOwner | None,
        gap: Gap | None,
        now: float,
    ) -> bool:
        """Return whether a lookup without an owner waits for the list of members.

        A reset always does. Otherwise the confirmation only shows members that joined,
        so it is requested at a limited rate, as each one is a call to the store.
        """
        if former is None and gap is None:
            return False
        if former is None and gap is Gap.UNCONFIRMED:
            self._confirmations.request(now)
            return True
        if lookup.are_members_confirmed:
            return False
        if former is None and not self._unconfirmed:
            if now < self._next_confirmation_s:
                return False
            self._next_confirmation_s = now + self._settings.confirm_interval_s
        self._confirmations.request_now(now)
        return True

    def _end_unanswered(
        self, lookup: Lookup, now: float, outcome: str, gap: Gap
    ) -> None:
        """End a lookup without a reset, as the owner may be unknown or silent.

        A retransmission of the caller starts the next lookup.
        """
        flow = lookup.segment.flow
        self._remove(lookup)
        settings = self._settings
        is_denied = not list_estimates(lookup.answers, self._members)
        is_list_missing = gap in (Gap.ROSTER_INCOMPLETE, Gap.UNCONFIRMED)
        is_short = is_denied and is_list_missing
        duration_s = settings.evidence_pause_s if is_short else settings.lookup_pause_s
        if lookup.is_member_silent and lookup.probed_members:
            duration_s = settings.probe_pause_s
        is_growing = is_short or outcome == "no_owner_found"
        self._pauses.start(flow, now, duration_s, is_growing)
        self._outbox.count("lookup_ended", outcome)
        self._outbox.count("reset_withheld", gap)
        self._outbox.log(
            "lookup",
            flow,
            outcome,
            gap=gap,
            asked=len(lookup.queried_or_excluded),
            members=len(self._members),
            silent=lookup.unresponsive_count,
            members_incomplete=self._members.may_be_incomplete(now),
        )

    def _list_unqueried(self, lookup: Lookup) -> set[Address]:
        return {
            member.entry.address for member in self._members
        } - lookup.queried_or_excluded

    def _count_outstanding(self, lookup: Lookup, now: float) -> int:
        """Return the number of outstanding members that are not lost."""
        members = (self._members.get(address) for address in lookup.outstanding)
        return sum(
            member is not None and not self._members.is_lost(member, now)
            for member in members
        )

    def _complete(
        self, lookup: Lookup, owner: Address, outcome: str, now: float
    ) -> None:
        flow = lookup.segment.flow
        self._remove(lookup)
        self._former_owners.forget(flow)
        self._pauses.end(flow)
        self._on_found(lookup.segment, owner, now, outcome == "certain")
        self._outbox.count("lookup_ended", outcome)
        self._outbox.observe("lookup", now - lookup.started_s)
        self._outbox.log("lookup", flow, outcome, agent=owner[0])
        # A probe has already carried the first packet to the owner's server.
        start = 1 if owner in lookup.probed_members else 0
        for data in lookup.packets[start:]:
            self._outbox.send(owner, Relay(data))

    def _remove(self, lookup: Lookup) -> None:
        self._lookups.pop(lookup.segment.flow, None)
        self._unconfirmed.pop(lookup.segment.flow, None)
        self._flows_by_token.pop(lookup.token, None)

    def _create_token(self, flow: bytes) -> int:
        self._last_token = (self._last_token + 1) % TOKEN_MODULUS
        self._flows_by_token[self._last_token] = flow
        return self._last_token
