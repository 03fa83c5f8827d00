"""Settings of requests, for agents and balancers."""

import attrs


@attrs.frozen
class LedgerSettings:
    """Settings of an agent's ledger.

    Parameters
    ----------
    ticket_lifetime_s : float
        Time in which the request of a ticket may start.
    retention_s : float
        Time for which entries are kept after the expiry of their ticket.
    key_period_s : float
        Interval between new keys.
    hold_s : float
        Time for which a ticket counts against the cap before its request starts.
    retry_after_s : float
        Time to retry that refusals name.
    max_body_bytes : int
        Longest request body and response body that are accepted.
    max_kept_bytes : int
        Most bytes of responses that are kept for repeated fetches.
    initial_fraction : float
        Share of the cap that is admitted right after the start.
    warm_up_s : float
        Time in which the share rises to 1.
    """

    ticket_lifetime_s: float = 60.0
    retention_s: float = 300.0
    key_period_s: float = 3600.0
    hold_s: float = 1.0
    retry_after_s: float = 1.0
    max_body_bytes: int = 8 * 2**20
    max_kept_bytes: int = 64 * 2**20
    initial_fraction: float = 0.2
    warm_up_s: float = 30.0


@attrs.frozen
class DispatcherSettings:
    """Settings of a balancer's dispatcher.

    Parameters
    ----------
    default_deadline_s : float
        Time for a request without a deadline of its own.
    resend_s : float
        Interval after which an unanswered message is sent again.
    reserve_attempts : int
        Times that a reservation is sent to one agent.
    fence_lead_s : float
        Time before the deadline at which an unanswered request is fenced.
    retry_fraction : float
        Most retries, as a share of the requests in the window.
    retry_window_s : float
        Window of the retry budget.
    backoff_s : float
        Longest delay of the first retry; doubled for each further one.
    backoff_max_s : float
        Longest delay of any retry.
    retry_after_s : float
        Time to retry that refusals name when the agent has not named one.
    """

    default_deadline_s: float = 30.0
    resend_s: float = 1.0
    reserve_attempts: int = 2
    fence_lead_s: float = 0.1
    retry_fraction: float = 0.1
    retry_window_s: float = 10.0
    backoff_s: float = 0.02
    backoff_max_s: float = 1.0
    retry_after_s: float = 1.0
