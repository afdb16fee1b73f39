"""Parse and validate a team's branch and the settings tree as a whole."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from sesamepost.internal.settings.ini import Entry, Section, parse_ini
from sesamepost.internal.settings.model import (
    ClassSettings,
    ServiceSettings,
    TeamBranch,
    VmState,
    Weights,
)
from sesamepost.internal.settings.problems import SettingsProblem
from sesamepost.internal.settings.schema import (
    BRANCH_SECTIONS,
    BRANCH_SETTINGS,
    NAME_RULE,
    is_name,
)
from sesamepost.internal.settings.values import ValueReader

SETTINGS_PREFIX = "settings/"
MAX_BRANCH_BYTES = 900_000
DEFAULT_CLASS = "default"

Problems = list[SettingsProblem]


def branch_key(team: str) -> str:
    """Return the store key of a team's branch."""
    return SETTINGS_PREFIX + team


def parse_branch(
    team: str, text: str, file: str = ""
) -> Result[TeamBranch, list[SettingsProblem]]:
    """Return the branch in ``text``, or every problem with it.

    The problems name ``file``, which defaults to the key in the store. A branch with
    any problem is rejected as a whole, so that no change is applied in part.
    """
    file = file or branch_key(team)
    sections, problems = parse_ini(file, text)
    reader = ValueReader(file, BRANCH_SECTIONS, BRANCH_SETTINGS, problems)
    if not is_name(team):
        reader.problems.append(
            SettingsProblem(
                file, "", "team", team, "the team's name is not allowed", NAME_RULE
            )
        )
    size = len(text.encode(errors="replace"))
    if size > MAX_BRANCH_BYTES:
        reason = f"the branch has {size} bytes"
        remedy = f"shorten it to {MAX_BRANCH_BYTES} bytes, for example its comments"
        reader.problems.append(SettingsProblem(file, "", "", "", reason, remedy))
    builder = _BranchBuilder(team, reader)
    for section in sections:
        builder.read_section(section)
    branch = builder.build()
    if reader.problems:
        return Error(reader.problems)
    return Ok(branch)


@dataclass(slots=True)
class _BranchBuilder:
    """Builds a branch from its sections, which are read one at a time."""

    team: str
    reader: ValueReader
    team_values: dict = field(default_factory=dict)
    services: dict[str, dict] = field(default_factory=dict)
    service_sections: dict[str, Section] = field(default_factory=dict)
    classes: list[tuple[Section, str, ClassSettings]] = field(default_factory=list)
    vms: dict[str, VmState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.team_values = self.reader.read("team", Section("team", 0))

    def read_section(self, section: Section) -> None:
        kind, separator, name = section.name.partition(":")
        match kind, bool(separator):
            case "team", False:
                self.team_values = self.reader.read("team", section)
            case "service", True:
                self.services[name] = self.reader.read("service", section)
                self.service_sections[name] = section
                self.check_name(section, name)
            case "class", True:
                self.read_class(section, name)
            case "vm", True:
                self.vms[name] = self.reader.read("vm", section)["state"]
                self.check_name(section, name)
            case _:
                self.reader.report_unknown_section(section)

    def read_class(self, section: Section, name: str) -> None:
        service, separator, class_name = name.partition("/")
        values = self.reader.read("class", section)
        if not separator:
            self.report_header(
                section, "the header names no service", "write [class:SERVICE/NAME]"
            )
            return
        self.check_name(section, class_name)
        self.classes.append((section, service, ClassSettings(class_name, **values)))

    def check_name(self, section: Section, name: str) -> None:
        if not is_name(name):
            self.report_header(section, f"{name!r} is not a name", f"use {NAME_RULE}")

    def report_header(self, section: Section, reason: str, remedy: str) -> None:
        self.reader.report(section, Entry("", "", section.line), reason, remedy)

    def build(self) -> TeamBranch:
        for section, service, _ in self.classes:
            if service in self.services:
                continue
            self.report_header(
                section,
                f"the class belongs to the unknown service {service!r}",
                f"add [service:{service}] or correct the name",
            )
        values = dict(self.team_values)
        weights = Weights(
            imbalance=values.pop("weight_imbalance"),
            churn=values.pop("weight_churn"),
            unavailable=values.pop("weight_unavailable"),
        )
        services = {name: self.build_service(name) for name in self.services}
        return TeamBranch(self.team, weights, **values, services=services, vms=self.vms)

    def build_service(self, name: str) -> ServiceSettings:
        classes = [item for _, service, item in self.classes if service == name]
        if all(item.name != DEFAULT_CLASS for item in classes):
            # Requests without a class must not fail once a team adds its first class.
            classes.insert(0, ClassSettings(DEFAULT_CLASS))
        # Admission assigns requests without a class to the first class.
        classes.sort(key=lambda item: item.name != DEFAULT_CLASS)
        if all(item.weight == 0 for item in classes):
            self.report_header(
                self.service_sections[name],
                "no class of the service has a weight above 0",
                f"give [class:{name}/{classes[0].name}] a weight of 1 or more",
            )
        return ServiceSettings(name, **self.services[name], classes=tuple(classes))


def check_change(old: TeamBranch | None, new: TeamBranch) -> list[SettingsProblem]:
    """Return the problems that forbid replacing ``old`` with ``new``.

    ``old`` is None if the team has no branch yet.
    """
    problems: Problems = []
    for name, service in new.services.items():
        old_service = old.services.get(name) if old is not None else None
        if old_service is None or old_service.partitions == service.partitions:
            continue
        problems.append(
            SettingsProblem(
                branch_key(new.team),
                f"service:{name}",
                "partitions",
                str(service.partitions),
                "the number of partitions of an existing service can't change",
                f"keep partitions = {old_service.partitions} or add a service with"
                " another name",
            )
        )
    return problems


def check_tree(branches: Iterable[TeamBranch]) -> list[SettingsProblem]:
    """Return a problem for each service that another team has already defined."""
    problems: Problems = []
    teams: dict[str, str] = {}
    for branch in branches:
        for name in branch.services:
            first_team = teams.setdefault(name, branch.team)
            if first_team == branch.team:
                continue
            problems.append(
                SettingsProblem(
                    branch_key(branch.team),
                    f"service:{name}",
                    "",
                    "",
                    f"team {first_team} defines the service {name}, too",
                    "choose a name that no other team uses",
                )
            )
    return problems
