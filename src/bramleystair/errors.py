"""Errors that carry the step and the peer at which they arose."""

import attrs


@attrs.frozen
class StepError:
    """Describe a failed step.

    Parameters
    ----------
    step : str
        What was being done, for example ``"decode forward"``.
    peer : str
        The peer involved: a node, a file, an address; empty without any.
    detail : str
        What went wrong, and what is allowed where that helps.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return a single line for logs and terminals."""
        where = f" ({self.peer})" if self.peer else ""
        return f"{self.step}{where}: {self.detail}"
