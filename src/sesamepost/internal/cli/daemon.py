"""HTTP client of a daemon's operators' port."""

import json
from dataclasses import dataclass
from types import TracebackType

import aiohttp

from sesamepost.internal.cli.errors import CommandError, ExitCode

CALL_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Member:
    """A node of the fleet as a daemon knows it."""

    vm: str
    node: str
    failure_domain: str
    region: str
    state: str
    address: str


@dataclass(frozen=True, slots=True)
class Rejection:
    """A version of a document that a daemon does not put in force, and the reason."""

    version: int
    reason: str

    def __str__(self) -> str:
        return f"version {self.version}: {self.reason}"


@dataclass(frozen=True, slots=True)
class Status:
    """The response to ``GET /status``.

    ``documents`` maps each document to its version in force. ``waiting`` has the
    branches that define a service whose claim is not known yet. ``services`` maps each
    service to the VMs that have an endpoint in service.
    """

    node: str
    fleet: tuple[Member, ...]
    controller: str | None
    documents: dict[str, int]
    rejected: dict[str, Rejection]
    waiting: dict[str, Rejection]
    services: dict[str, list[str]]


@dataclass(frozen=True, slots=True)
class NodeReport:
    """The versions that a node had in force ``age_s`` seconds ago."""

    documents: dict[str, int]
    age_s: float


@dataclass(frozen=True, slots=True)
class Ownership:
    """The owner of a key; ``owner`` is None while the key has none."""

    service: str
    key: str
    partition: int
    owner: str | None
    epoch: int


class DaemonClient:
    """Queries a daemon's operators' port; every failure raises ``CommandError``."""

    def __init__(self, url: str) -> None:
        self.url = url.rstrip("/")
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "DaemonClient":
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self.session is not None:
            await self.session.close()

    async def status(self) -> Status:
        """Return the daemon's view of the fleet and of the documents."""
        response = await self._get("/status")
        try:
            return Status(
                node=response["node"],
                fleet=tuple(
                    Member(**_known_fields(item)) for item in response["fleet"]
                ),
                controller=response["controller"],
                documents=dict(response["documents"]),
                rejected=_parse_rejections(response["rejected"]),
                waiting=_parse_rejections(response["waiting"]),
                services=dict(response["services"]),
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise self._malformed_error("/status", error) from None

    async def fleet(self) -> dict[str, NodeReport]:
        """Return the versions in force that each VM last reported to the controller."""
        response = await self._get("/fleet")
        try:
            return {
                vm: NodeReport(dict(report["documents"]), float(report["age_s"]))
                for vm, report in response["nodes"].items()
            }
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise self._malformed_error("/fleet", error) from None

    async def owner(self, service: str, key: str) -> Ownership:
        """Return the ownership of ``key`` in ``service``."""
        response = await self._get("/owner", {"service": service, "key": key})
        try:
            return Ownership(
                service=response["service"],
                key=response["key"],
                partition=response["partition"],
                owner=response["owner"],
                epoch=response["epoch"],
            )
        except (KeyError, TypeError) as error:
            raise self._malformed_error("/owner", error) from None

    async def _get(self, path: str, query: dict[str, str] | None = None):
        if self.session is None:
            raise RuntimeError("DaemonClient is used outside of its `async with` block")
        try:
            async with self.session.get(self.url + path, params=query) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or f"no answer within {CALL_TIMEOUT_S:g} s"
            raise CommandError(
                ExitCode.UNAVAILABLE, f"the daemon at {self.url}: {reason}"
            ) from error
        if response.status >= 500:
            raise CommandError(
                ExitCode.UNAVAILABLE,
                f"the daemon at {self.url} answered {response.status} to {path}",
            )
        if response.status != 200:
            text = " ".join(body.decode(errors="replace").split())[:200]
            raise CommandError(
                ExitCode.FAILED,
                f"the daemon at {self.url} answered {response.status} to {path}:"
                f" {text}",
            )
        try:
            return json.loads(body)
        except ValueError as error:
            raise self._malformed_error(path, error) from None

    def _malformed_error(self, path: str, error: Exception) -> CommandError:
        return CommandError(
            ExitCode.FAILED,
            f"the daemon at {self.url} sent an answer to {path} that this release does"
            f" not understand ({error!r})",
        )


def _known_fields(item: dict) -> dict:
    """Drop fields that a newer daemon may have added."""
    return {name: item[name] for name in Member.__dataclass_fields__}


def _parse_rejections(items: dict) -> dict[str, Rejection]:
    return {
        name: Rejection(int(item["version"]), str(item["reason"]))
        for name, item in items.items()
    }
