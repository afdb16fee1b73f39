"""Common options, output and exit codes of all commands."""

import asyncio
import functools
import inspect
import json
import os
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import urlsplit

from sesamepost.internal.cli.daemon import DaemonClient
from sesamepost.internal.cli.errors import CommandError, ExitCode, ProblemsError
from sesamepost.internal.settings.schema import NAME_RULE, is_name
from sesamepost.internal.store.envelope import EnvelopeError
from sesamepost.internal.store.http import HttpStore
from sesamepost.internal.store.interface import StoreUnavailableError

STORE_VARIABLE = "SESAMEPOST_STORE"
DAEMON_VARIABLE = "SESAMEPOST_DAEMON"
MAX_AUTHOR_LENGTH = 100

COMMON_DOCUMENTATION = f"""
:param store: URL of the platform's store; default: ${STORE_VARIABLE}.
:param daemon: URL of a daemon's operators' port; default: ${DAEMON_VARIABLE}.
:param json: Print JSON; an error is a JSON object on standard error.
"""


@dataclass(frozen=True, slots=True)
class Output:
    """The output of a command: ``payload`` with ``--json``, otherwise ``text``.

    ``note`` goes to standard error, so that ``text`` can be redirected to a file.
    """

    payload: dict[str, Any]
    text: str
    note: str = ""


@dataclass(frozen=True, slots=True)
class Context:
    """The common options of one invocation."""

    store_url: str
    daemon_url: str
    as_json: bool

    def store(self) -> HttpStore:
        """Return a client of the store."""
        return HttpStore(_check_url(self.store_url, "--store", STORE_VARIABLE))

    def daemon(self) -> DaemonClient:
        """Return a client of the daemon."""
        return DaemonClient(_check_url(self.daemon_url, "--daemon", DAEMON_VARIABLE))

    def print(self, output: Output) -> None:
        """Print the output of a command."""
        if self.as_json:
            print(json.dumps(output.payload))
            return
        sys.stdout.write(output.text)
        if output.text and not output.text.endswith("\n"):
            sys.stdout.write("\n")
        if output.note:
            print(output.note, file=sys.stderr)

    def print_error(self, error: CommandError) -> None:
        """Print the error as one line on standard error, after any problems."""
        if isinstance(error, ProblemsError):
            self._print_problems(error)
        message = " ".join(str(error).split())
        if self.as_json:
            content = {"error": error.code.name.lower(), "message": message}
            print(json.dumps({**content, **error.details}), file=sys.stderr)
            return
        print(f"sesamepostctl: {message}", file=sys.stderr)

    def _print_problems(self, error: ProblemsError) -> None:
        if self.as_json:
            print(json.dumps({"problems": [asdict(item) for item in error.problems]}))
            return
        for problem in error.problems:
            print(problem)


def command(function: Callable[..., Awaitable[Output]]) -> Callable[..., ExitCode]:
    """Turn ``async function(context, ...) -> Output`` into a command for defopt.

    The command takes the parameters of the function and the common options, prints the
    output that the function returns and returns an exit code.
    """

    @functools.wraps(function)
    def run(*arguments, store: str, daemon: str, json: bool, **options) -> ExitCode:
        context = Context(store, daemon, json)
        try:
            context.print(asyncio.run(function(context, *arguments, **options)))
        except CommandError as error:
            context.print_error(error)
            return error.code
        except StoreUnavailableError as error:
            context.print_error(CommandError(ExitCode.UNAVAILABLE, f"store: {error}"))
            return ExitCode.UNAVAILABLE
        except (EnvelopeError, UnicodeDecodeError) as error:
            context.print_error(CommandError(ExitCode.FAILED, f"store: {error}"))
            return ExitCode.FAILED
        return ExitCode.DONE

    own_parameters = list(inspect.signature(function).parameters.values())[1:]
    common_parameters = [
        _make_option("store", str, os.environ.get(STORE_VARIABLE, "")),
        _make_option("daemon", str, os.environ.get(DAEMON_VARIABLE, "")),
        _make_option("json", bool, False),
    ]
    run.__signature__ = inspect.Signature([*own_parameters, *common_parameters])
    run.__annotations__ = {
        item.name: item.annotation for item in [*own_parameters, *common_parameters]
    }
    run.__doc__ = inspect.cleandoc(function.__doc__ or "") + "\n" + COMMON_DOCUMENTATION
    # With __wrapped__, inspect.signature would return the function's signature.
    del run.__wrapped__
    return run


def check_team(team: str) -> str:
    """Return ``team``, or raise ``CommandError`` if it is not a valid name."""
    if not is_name(team):
        raise CommandError(ExitCode.USAGE, f"team {team!r} must have {NAME_RULE}")
    return team


def check_author(author: str) -> str:
    """Return the author to record: the option or the environment variable USER."""
    chosen_author = author or os.environ.get("USER", "")
    if not chosen_author.strip():
        raise CommandError(ExitCode.USAGE, "give --author or set USER")
    if len(chosen_author) > MAX_AUTHOR_LENGTH or not chosen_author.isprintable():
        raise CommandError(
            ExitCode.USAGE,
            f"author {chosen_author!r} must have at most {MAX_AUTHOR_LENGTH} printable"
            " characters",
        )
    return chosen_author


def _make_option(name: str, kind: type, default: Any) -> inspect.Parameter:
    return inspect.Parameter(
        name, inspect.Parameter.KEYWORD_ONLY, annotation=kind, default=default
    )


def _check_url(url: str, option: str, variable: str) -> str:
    if not url:
        raise CommandError(ExitCode.USAGE, f"give {option} URL or set {variable}")
    try:
        parts = urlsplit(url)
        is_url = parts.scheme in ("http", "https") and bool(parts.hostname)
        is_url = is_url and parts.port != 0
    except ValueError:
        is_url = False
    if not is_url:
        raise CommandError(
            ExitCode.USAGE, f"{option} {url!r} must be a URL, such as http://HOST:PORT"
        )
    return url
