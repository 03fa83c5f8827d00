"""Settings of the request path in agents and balancers."""

import attrs


@attrs.frozen
class LedgerSettings:
    """Settings of an agent's request ledger.

    Parameters
    ----------
    ticket_lifetime_s : float
        Time within which the request of a ticket must start.
    retention_s : float
        Time for which ledger entries are retained after their ticket expires.
    key_period_s : float
        Interval at which the ticket signing key is rotated.
    hold_s : float
        Time for which an unused ticket counts against the request cap.
    retry_after_s : float
        Minimum retry time given in refusals.
    max_body_bytes : int
        Maximum size of a request body and of a response body.
    max_kept_bytes : int
        Maximum total size of the responses retained for repeated fetches.
    initial_fraction : float
        Fraction of the request cap that is admitted at the start of a warm-up.
    warm_up_s : float
        Time in which the admitted fraction rises to 1.
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
        Deadline of requests that specify none.
    resend_s : float
        Time after which an unanswered message is first sent again.
    reserve_attempts : int
        Maximum number of times that a reservation is sent to one agent.
    fence_lead_s : float
        Time before the deadline at which an unanswered request is fenced.
    retry_fraction : float
        Maximum number of retries, as a fraction of the requests in the window.
    retry_window_s : float
        Length of the sliding window of the retry budget.
    backoff_s : float
        Maximum delay of the first retry; doubled for each further one.
    backoff_max_s : float
        Maximum delay of any retry.
    retry_after_s : float
        Base retry time given in refusals when the agent gives none.
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
