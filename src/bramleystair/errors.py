"""Error value with the failed operation and the peer involved."""

import attrs


@attrs.frozen
class StepError:
    """Failure of an operation, returned as the error of a `Result`.

    Parameters
    ----------
    step : str
        Operation that failed, for example ``"decode forward"``.
    peer : str
        Node, file or address involved; empty if there is none.
    detail : str
        Cause of the failure, with the accepted values where they help.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        """Return a one-line message for logs and terminals."""
        peer = f" ({self.peer})" if self.peer else ""
        return f"{self.step}{peer}: {self.detail}"
