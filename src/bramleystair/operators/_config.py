"""Validation of the daemons' settings files."""

from collections.abc import Iterator
from pathlib import Path

import attrs

from bramleystair.operators._reports import ExitCode
from bramleystair.settings import (
    AgentSettings,
    BalancerSettings,
    SettingsError,
    load_settings,
)

SCHEMAS_BY_DAEMON = {"balancer": BalancerSettings, "agent": AgentSettings}


@attrs.frozen
class ConfigReport:
    """Result of checking a settings file, with the daemon whose schema fits best."""

    file: str
    kind: str
    errors: tuple[SettingsError, ...]

    @property
    def exit_code(self) -> ExitCode:
        """Return the exit code of the command."""
        return ExitCode.REFUSED if self.errors else ExitCode.OK

    def format_lines(self) -> Iterator[str]:
        """Yield the lines of the text output."""
        yield from map(str, self.errors)
        if not self.errors:
            yield f"{self.file}: settings of {self.kind}, no errors"


def check_settings_file(file: Path) -> ConfigReport:
    """Check `file` against the schema that gives fewer errors."""
    reports = [
        ConfigReport(str(file), kind, load_settings(file, schema).err() or ())
        for kind, schema in SCHEMAS_BY_DAEMON.items()
    ]
    return min(reports, key=lambda report: len(report.errors))
