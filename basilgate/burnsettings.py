"""Settings of the burn report, read from an INI file."""

import configparser
import pathlib
import typing

import pydantic
from returns import result

from basilgate import burnsamples, settings

# Beginnings of section names; the name of the rule or of the service follows.
ALERT_PREFIX = "alert "
OBJECTIVE_PREFIX = "objective "


class ReportSection(settings.Section):
    """``[report]``: the period and the windows that the report covers."""

    # Length in seconds of the period that an error budget covers.
    budget_period_s: float = pydantic.Field(default=3 * 86_400.0, gt=0)
    # Lengths in seconds of the windows for which burn rates are shown.
    windows_s: tuple[float, ...] = (300.0, 3_600.0, 21_600.0, 259_200.0)
    # Number of points of each line in the plots.
    plot_points: int = pydantic.Field(default=120, ge=2, le=2_000)

    @pydantic.field_validator("windows_s", mode="before")
    @classmethod
    def split_windows(cls, value: typing.Any) -> typing.Any:
        """Split a comma-separated list; return any other value unchanged."""
        if isinstance(value, str):
            return [item.strip() for item in value.split(",") if item.strip()]
        return value

    @pydantic.field_validator("windows_s")
    @classmethod
    def check_windows(cls, value: tuple[float, ...]) -> tuple[float, ...]:
        """Return the windows sorted from short to long.

        Raises
        ------
        ValueError
            If there are none, or one is not positive.
        """
        if not value or min(value) <= 0:
            raise ValueError("expected one or more lengths above 0")
        return tuple(sorted(value))


class AlertSection(settings.Section):
    """``[alert NAME]``: alerts while the burn rates of both windows reach `burn`.

    The long window shows that enough of the budget is lost to matter, and the short
    one that the loss still goes on.
    """

    # Lengths of the two windows in seconds.
    long_s: float = pydantic.Field(gt=0)
    short_s: float = pydantic.Field(gt=0)
    # Threshold of the burn rate.
    burn: float = pydantic.Field(gt=0)


class BurnSettings(settings.Section):
    """All settings of the burn report."""

    report: ReportSection = ReportSection()
    # Alert rules by name. The default thresholds correspond to losing 20% of the 3-day
    # budget in 1 h, 50% of it in 6 h, and all of it in 3 d.
    alert: dict[str, AlertSection] = {
        "page": AlertSection(long_s=3_600, short_s=300, burn=14.4),
        "page-slow": AlertSection(long_s=21_600, short_s=3_600, burn=6),
        "ticket": AlertSection(long_s=259_200, short_s=21_600, burn=1),
    }
    # Objectives by service, which take precedence over those of the sheet.
    objective: dict[str, burnsamples.Objective] = {}


def parse(text: str) -> result.Result[BurnSettings, str]:
    """Return the settings in an INI text, or a one-line error message."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return result.Failure(" ".join(str(error).split()))
    values: dict[str, typing.Any] = {}
    for section in parser.sections():
        for prefix in (ALERT_PREFIX, OBJECTIVE_PREFIX):
            if section.startswith(prefix):
                group = values.setdefault(prefix.strip(), {})
                group[section.removeprefix(prefix)] = dict(parser[section])
                break
        else:
            values[section] = dict(parser[section])
    try:
        return result.Success(BurnSettings.model_validate(values))
    except pydantic.ValidationError as error:
        return result.Failure(settings.describe(error))


def load(path: pathlib.Path) -> result.Result[BurnSettings, str]:
    """Return the settings in an INI file, or a one-line error message."""
    return settings.read(path).bind(parse)
