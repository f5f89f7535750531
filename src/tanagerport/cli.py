"""Command line `tanagerport`."""

import dataclasses
import sys
from collections.abc import Callable, Sequence

from absl import flags

from tanagerport import bench, commands, quarantine_command
from tanagerport.exceptions import (
    DocumentError,
    OperatorConflictError,
    OperatorRequestError,
    OperatorUnreachableError,
)
from tanagerport.logs import configure_logs

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_CONFLICT = 4
EXIT_INTERRUPTED = 130

_EXIT_CODES_HELP = """\
exit codes:
  0    done
  1    the document, request or result is wrong; standard error says what
  2    the command line is wrong
  3    no node's operator interface was reached
  4    another operator changed the same thing first
  130  interrupted; a change is either accepted whole or not at all"""


@dataclasses.dataclass(frozen=True)
class Command:
    """A sub-command.

    Attributes:
        name: Name on the command line.
        arguments: Positional arguments as shown in the usage line.
        summary: One line of help.
        example: Example call, without the program's name.
        define_flags: Defines the command's flags.
        run: Runs the command and returns its exit code.
        argument_count: Accepted number of positional arguments.
    """

    name: str
    arguments: str
    summary: str
    example: str
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[flags.FlagValues, Sequence[str]], int]
    argument_count: int = 0

    @property
    def usage(self) -> str:
        """Usage line of the command."""
        arguments = f" {self.arguments}" if self.arguments else ""
        return f"tanagerport {self.name}{arguments} [flags]"


COMMANDS: tuple[Command, ...] = (
    Command(
        "node",
        "",
        "Serve as an entry node until SIGTERM, then drain and exit.",
        "node --settings=examples/quietword/node-1.json",
        commands.define_settings_flag,
        commands.run_node,
    ),
    Command(
        "check",
        "FILE",
        "Check a settings file or a document for `apply`; list all findings.",
        "check examples/quietword/node-1.json",
        commands.define_no_flags,
        commands.check_file,
        argument_count=1,
    ),
    Command(
        "apply",
        "FILE",
        "Apply classes and their targets; done once they are durable.",
        "apply examples/quietword-classes.json --settings=node-1.json",
        commands.define_change_flags,
        commands.apply_file,
        argument_count=1,
    ),
    Command(
        "status",
        "",
        "Show targets met or missed, version moves and zones.",
        "status --settings=node-1.json --watch",
        commands.define_status_flags,
        commands.show_status,
    ),
    Command(
        "move",
        "MODEL:VERSION",
        "Move a model's traffic to a version by a deadline.",
        "move tutor:v2 --deadline=2h --settings=node-1.json",
        commands.define_move_flags,
        commands.move_version,
        argument_count=1,
    ),
    Command(
        "take-back",
        "MODEL:VERSION",
        "Take a version out of service for good and return to the old one.",
        "take-back tutor:v2 --reason='wrong lip shapes' --settings=node-1.json",
        commands.define_take_back_flags,
        commands.take_back_version,
        argument_count=1,
    ),
    Command(
        "drain",
        "UPSTREAM|VM",
        "Give an upstream or an entry node no new work.",
        "drain tutoring-worker-3 --settings=node-1.json",
        commands.define_change_flags,
        commands.drain_target,
        argument_count=1,
    ),
    Command(
        "explain",
        "REQUEST_ID",
        "Show why a request went where it went, waited or was refused.",
        "explain 019ae8-3f2c --settings=node-1.json",
        commands.define_explain_flags,
        commands.explain_request,
        argument_count=1,
    ),
    Command(
        "quarantine",
        "",
        "Show or release prompt parts that crashed upstreams (gateway).",
        "quarantine --node=10.1.0.25:7615 --release=9f86d081884c7d65",
        quarantine_command.define_quarantine_flags,
        quarantine_command.run_quarantine,
    ),
    Command(
        "demo",
        "",
        "Run an embedded node with simulated upstreams and print a report.",
        "demo --serve",
        commands.define_demo_flags,
        commands.run_demo,
    ),
    Command(
        "bench",
        "",
        "Replay a trace through the naive router and through real nodes.",
        "bench --scenario=burst --seed=1 --json",
        bench.define_bench_flags,
        bench.run_command,
    ),
)


def main(argv: Sequence[str]) -> int:
    """Runs one sub-command.

    Standard output is the command's; log lines go to standard error.

    Args:
        argv: Program name and arguments.

    Returns:
        Exit code, see `tanagerport --help`.
    """
    configure_logs("warning")
    names = {command.name: command for command in COMMANDS}
    name = argv[1] if len(argv) > 1 else ""
    if name in ("--help", "-h", "help"):
        print(overview())
        return EXIT_OK
    command = names.get(name)
    if command is None:
        problem = f"unknown command {name!r}" if name else "no command given"
        print(f"tanagerport: {problem}\n\n{overview()}", file=sys.stderr)
        return EXIT_USAGE
    return _run_command(command, argv[2:])


def overview() -> str:
    """Returns the text of `tanagerport --help`."""
    lines = ["usage: tanagerport COMMAND [flags]", "", "commands:"]
    lines += [f"  {item.name:10} {item.summary}" for item in COMMANDS]
    lines += ["", "`tanagerport COMMAND --help` shows flags and an example."]
    return "\n".join([*lines, "", _EXIT_CODES_HELP])


def command_help(command: Command) -> str:
    """Returns the text of `tanagerport COMMAND --help`."""
    values = flags.FlagValues()
    command.define_flags(values)
    lines = [f"usage: {command.usage}", "", command.summary]
    names = sorted(values)
    if names:
        lines += ["", "flags:"]
    for name in names:
        flag = values[name]
        default = "" if flag.default is None else f" (default {flag.default})"
        lines.append(f"  --{name}: {flag.help}{default}")
    lines += ["", "example:", f"  tanagerport {command.example}"]
    return "\n".join([*lines, "", _EXIT_CODES_HELP])


def run() -> None:
    """Entry point of the program."""
    sys.exit(main(sys.argv))


def _run_command(command: Command, arguments: Sequence[str]) -> int:
    if "--help" in arguments or "-h" in arguments:
        print(command_help(command))
        return EXIT_OK
    values = flags.FlagValues()
    command.define_flags(values)
    try:
        positional = values([command.name, *arguments])[1:]
        if len(positional) != command.argument_count:
            raise flags.Error(
                f"takes {command.argument_count} argument(s)"
                f" {command.arguments}, not {len(positional)}"
            )
        return command.run(values, positional)
    except flags.Error as error:
        print(
            f"tanagerport {command.name}: {error}\nusage: {command.usage}",
            file=sys.stderr,
        )
        return EXIT_USAGE
    except (DocumentError, OperatorRequestError) as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except OperatorUnreachableError as error:
        print(error, file=sys.stderr)
        return EXIT_UNREACHABLE
    except OperatorConflictError as error:
        print(error, file=sys.stderr)
        return EXIT_CONFLICT
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
