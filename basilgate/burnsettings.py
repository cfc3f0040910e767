"""Settings of the burn report: windows, alert rules, and objectives."""

import configparser
import pathlib
import typing

import pydantic
from returns import result

from basilgate import burnsamples, settings

ALERT_PREFIX = "alert "
OBJECTIVE_PREFIX = "objective "


class ReportSection(settings.Section):
    """``[report]``: the budget period and the windows, in seconds."""

    budget_period_s: float = pydantic.Field(default=3 * 86_400.0, gt=0)
    windows_s: tuple[float, ...] = (300.0, 3_600.0, 21_600.0, 259_200.0)
    plot_points: int = pydantic.Field(default=120, ge=2, le=2_000)

    @pydantic.field_validator("windows_s", mode="before")
    @classmethod
    def split_windows(cls, value: typing.Any) -> typing.Any:
        """Accept a comma-separated list."""
        if isinstance(value, str):
            return [item.strip() for item in value.split(",") if item.strip()]
        return value

    @pydantic.field_validator("windows_s")
    @classmethod
    def check_windows(cls, value: tuple[float, ...]) -> tuple[float, ...]:
        """Accept positive windows only, and return them from short to long."""
        if not value or min(value) <= 0:
            raise ValueError("expected one or more lengths above 0")
        return tuple(sorted(value))


class AlertSection(settings.Section):
    """``[alert NAME]``: holds while both windows burn at `burn` or faster.

    The long window shows that the loss matters, the short one that it goes on.
    """

    long_s: float = pydantic.Field(gt=0)
    short_s: float = pydantic.Field(gt=0)
    burn: float = pydantic.Field(gt=0)


class BurnSettings(settings.Section):
    """All settings of the report; objectives here go before the sheet's."""

    report: ReportSection = ReportSection()
    # Each rule stands for a loss of the 3-day budget: 20% in 1 h, 50% in 6 h,
    # and all of it in 3 d.
    alert: dict[str, AlertSection] = {
        "page": AlertSection(long_s=3_600, short_s=300, burn=14.4),
        "page-slow": AlertSection(long_s=21_600, short_s=3_600, burn=6),
        "ticket": AlertSection(long_s=259_200, short_s=21_600, burn=1),
    }
    objective: dict[str, burnsamples.Objective] = {}


def parse(text: str) -> result.Result[BurnSettings, str]:
    """Return the settings in an INI text, or one line that says what is wrong."""
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
    """Return the settings in an INI file, or one line that says what is wrong."""
    return settings.read(path).bind(parse)
