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
from bramleystair.steering import SteeringOptions, read_options

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
    """Check `file` as options of steering if it has any, or against the best schema.

    The best one is the daemon's schema that gives fewer errors.
    """
    if _has_steering_options(file):
        return ConfigReport(str(file), "steering", _check_steering_options(file))
    reports = [
        ConfigReport(str(file), kind, load_settings(file, schema).err() or ())
        for kind, schema in SCHEMAS_BY_DAEMON.items()
    ]
    return min(reports, key=lambda report: len(report.errors))


def _has_steering_options(file: Path) -> bool:
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # The daemons' loader reports why the file cannot be read.
        return False
    parts = (field.name for field in attrs.fields(SteeringOptions))
    return any(f'"{part}"' in text for part in parts)


def _check_steering_options(file: Path) -> tuple[SettingsError, ...]:
    result = read_options(str(file))
    if result.is_ok():
        return ()
    where, _, allowed = result.unwrap_err().detail.partition("; allowed: ")
    name, _, value = where.removeprefix("option ").partition(" is ")
    return (SettingsError(str(file), name.strip("'"), value, allowed),)
