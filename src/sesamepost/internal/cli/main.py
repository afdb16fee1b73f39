"""Entry point of ``sesamepostctl``."""

import contextlib
import io
import os
import sys

import defopt

from sesamepost.internal.cli import commands
from sesamepost.internal.cli.context import command
from sesamepost.internal.cli.errors import ExitCode

PROGRAM = "sesamepostctl"

DESCRIPTION = """\
Operates a sesamepost fleet by its settings: one branch for each team.

A change of a branch:
  sesamepostctl show lahore > lahore.ini      prints the version on standard error
  sesamepostctl check lahore.ini --team lahore
  sesamepostctl put lahore lahore.ini --if-version 7
  sesamepostctl wait lahore 8

A VM out of service and back:
  sesamepostctl drain vm-3 --team lahore --reason maintenance
  sesamepostctl undrain vm-3 --team lahore --reason maintenance

check needs neither the store nor a daemon. show, diff, put and undrain need --store
URL or $SESAMEPOST_STORE. wait, members, versions and owner need --daemon URL (the
operators' port of any daemon) or $SESAMEPOST_DAEMON. drain needs both. Options follow
the command.
"""

EPILOG = """\
exit codes:
  0  done
  1  failed
  2  wrong usage
  3  conflict: another operator changed the branch
  4  refused: a faulty branch, the last endpoint in service, another drain
  5  the store or the daemon is unavailable, or the time is over

"sesamepostctl COMMAND --help" explains a command.
"""

COMMANDS = (
    commands.check,
    commands.show,
    commands.diff,
    commands.put,
    commands.wait,
    commands.members,
    commands.versions,
    commands.owner,
    commands.drain,
    commands.undrain,
)


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    if not arguments:
        print(f"{PROGRAM}: error: give a command; see --help", file=sys.stderr)
        return ExitCode.USAGE
    parser_errors = io.StringIO()
    try:
        # argparse prints its usage on several lines, but an error must be one line.
        with contextlib.redirect_stderr(parser_errors):
            call = defopt.bind(
                {function.__name__: command(function) for function in COMMANDS},
                argv=arguments,
                no_negated_flags=True,
                show_defaults=False,
                version=False,
                short={},
                argparse_kwargs={
                    "prog": PROGRAM,
                    "description": DESCRIPTION,
                    "epilog": EPILOG,
                },
            )
    except SystemExit as error:
        if not error.code:
            return ExitCode.DONE
        lines = parser_errors.getvalue().strip().splitlines()
        print(" ".join(lines[-1].split()), file=sys.stderr)
        return ExitCode.USAGE
    return call()


def main() -> None:
    """Run the command in ``sys.argv`` and exit with its code."""
    try:
        code = run(sys.argv[1:])
        sys.stdout.flush()
    except KeyboardInterrupt:
        print(f"{PROGRAM}: interrupted", file=sys.stderr)
        code = ExitCode.FAILED
    except BrokenPipeError:
        # The reader closed the pipe. Without this, the interpreter would report the
        # error again when it flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAILED
    sys.exit(code)


if __name__ == "__main__":
    main()
