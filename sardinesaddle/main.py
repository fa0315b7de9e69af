"""The command line of ``sardinesaddle``.

``sardinesaddle --help`` lists the commands; ``sardinesaddle COMMAND --help`` prints
the help page of a command. An unknown command, a missing file or an invalid setting is
reported on one line of standard error with the remedy, and the exit status is not 0.
"""

import difflib
import inspect
import json
import sys
import typing

import fire
import fire.core

import sardinesaddle
from sardinesaddle import settings

EXIT_FAILED: typing.Final = 1
EXIT_USAGE: typing.Final = 2


class CommandError(Exception):
    """Raised if a command fails; the text names the remedy."""


class UsageError(CommandError):
    """Raised if a command cannot be carried out as given; the exit status is 2."""


def print_line(text: str) -> None:
    """Write a line to standard output."""
    sys.stdout.write(text + "\n")


def dump_json(page: object) -> str:
    """Return a value as an indented JSON document."""
    return json.dumps(page, indent=2)


def load_settings_and_secret(
    path: str, settings_type: type[settings.Settings]
) -> tuple[settings.Settings, bytes]:
    """Return the checked settings and the secret of a role; raise CommandError."""
    cfg = settings.load_settings(path, settings_type)
    if isinstance(cfg, settings.SettingsFault):
        raise CommandError(cfg.text)
    secret_file: str = cfg.secret_file  # type: ignore[attr-defined]
    secret = settings.load_secret(secret_file)
    if isinstance(secret, settings.SettingsFault):
        raise CommandError(secret.text)
    return cfg, secret


class TableCommands:
    """Check and split the operators' table, or explain its limits."""

    def check(self, file: str) -> None:
        """Check a table and list each fault with its sheet and row.

        FILE is JSON with comments; its sheets are accounts, services, targets,
        limits and groups.
        """
        from sardinesaddle import tabletool

        rows = tabletool.load_rows(file)
        if isinstance(rows, tabletool.TableFaults):
            raise CommandError("\n".join(rows.lines))
        print_line(f"{file}: {tabletool.describe_rows(rows)}; no faults")

    def split(self, file: str, out: str, before: str = "") -> None:
        """Split a table into a manifest and shards for publishing.

        FILE is the table; OUT is the directory to which one file is written for each
        value to publish. BEFORE is the directory of the previous revision. Publish
        the shards first and the value 'manifest' last.
        """
        from sardinesaddle import tabletool

        result = tabletool.split_table(file, out, before)
        if isinstance(result, tabletool.TableFaults):
            raise CommandError("\n".join(result.lines))
        print_line(result)

    def explain(self, file: str, service: str, account: str, place: str) -> None:
        """Show the limit row that applies to a service, client account and place."""
        from sardinesaddle import tabletool

        rows = tabletool.load_rows(file)
        if isinstance(rows, tabletool.TableFaults):
            raise CommandError("\n".join(rows.lines))
        text = tabletool.explain_row(rows, service, account, place)
        if isinstance(text, tabletool.TableFaults):
            raise CommandError("\n".join(text.lines))
        print_line(text)


class Commands:
    """A load balancer for expert-parallel model groups."""

    def __init__(self) -> None:
        self.table = TableCommands()

    def entry(self, settings_file: str) -> None:
        """Run an entry: accept calls over HTTP and route them to targets.

        SETTINGS_FILE is JSON with comments; see docs/OPERATORS.md. SIGTERM drains
        the entry, which then exits with status 0.
        """
        from sardinesaddle import build, logs

        cfg, secret = load_settings_and_secret(settings_file, settings.EntrySettings)
        logs.start_logging("entry", cfg.log_level)
        build.run_role(lambda: build.EntryProcess(cfg, secret))

    def sidecar(self, settings_file: str) -> None:
        """Run the sidecar of a target: the only process that sends requests to it.

        SETTINGS_FILE is JSON with comments; see docs/OPERATORS.md. SIGTERM drains
        the sidecar, which then exits with status 0.
        """
        from sardinesaddle import build, logs

        cfg, secret = load_settings_and_secret(settings_file, settings.SidecarSettings)
        logs.start_logging("sidecar", cfg.log_level)
        build.run_role(lambda: build.SidecarProcess(cfg, secret))

    def node(self, role: str, settings_file: str) -> None:
        """Run a role of the direct path on the users' platform.

        ROLE is 'entry' or 'sidecar'; SETTINGS_FILE is JSON with comments, see
        docs/OPERATIONS.md. SIGTERM drains the process, which then exits with status 0.
        """
        from sardinesaddle.direct import start

        fault = start.run_role(role, settings_file)
        if fault:
            raise CommandError(fault)

    def check(self, role: str, settings_file: str) -> None:
        """Check a settings file without starting anything.

        ROLE is 'entry' or 'sidecar', or 'node-entry' or 'node-sidecar' for the
        direct path.
        """
        if role in ("node-entry", "node-sidecar"):
            from sardinesaddle.direct import start

            fault = start.check_settings(role.removeprefix("node-"), settings_file)
            if fault is not None:
                raise CommandError(fault.text)
        elif role == "entry":
            load_settings_and_secret(settings_file, settings.EntrySettings)
        elif role == "sidecar":
            load_settings_and_secret(settings_file, settings.SidecarSettings)
        else:
            raise CommandError(
                f"role {role!r} does not exist;"
                " use entry, sidecar, node-entry or node-sidecar"
            )
        print_line(f"{settings_file}: valid settings of role {role}")

    def status(self, url: str) -> None:
        """Print the status page of a process: revision, targets, drains, limits.

        URL is the admin address of an entry or a sidecar.
        """
        from sardinesaddle import statuspage

        page = statuspage.fetch_status(url)
        if isinstance(page, statuspage.StatusFault):
            raise CommandError(page.text)
        print_line(dump_json(page))

    def explain(
        self,
        source: str,
        host: str = "",
        path: str = "",
        account: str = "",
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        parts: str = "",
        json: bool = False,
    ) -> None:
        """Show where a request would go now, and why, without sending it.

        SOURCE is the metrics address of an entry (http://HOST:PORT), or a file with an
        explanation that was saved with --json. HOST and PATH select the route, ACCOUNT
        names the client account; PARTS are ids of prompt parts, separated by commas.
        """
        from sardinesaddle import explaintool

        if source.startswith(("http://", "https://")):
            if not host or not path:
                raise UsageError("explain needs --host and --path of the request")
            page = explaintool.fetch_explanation(
                source,
                {
                    "host": host,
                    "path": path,
                    "account": account,
                    "prompt_tokens": prompt_tokens,
                    "output_tokens": output_tokens,
                    "parts": parts,
                },
            )
        else:
            page = explaintool.read_explanation(source)
        if isinstance(page, explaintool.ExplainFault):
            raise UsageError(page.text)
        print_line(dump_json(page) if json else explaintool.format_explanation(page))
        if page["outcome"] == "refuse" and page["reason"] == "no_route":
            raise UsageError(f"no route matches host {host!r} and path {path!r}")

    def standins(self, port: int = 9000) -> None:
        """Run the stand-ins of a small deployment in a separate process.

        The stand-ins listen on PORT and the ports after it. Settings files of one
        entry and of a sidecar for each target go to the directory 'quickstart'.
        """
        from sardinesaddle.standins import quickstart

        quickstart.run(port)

    def demo(self, failures: str = "all", seed: int = 1) -> None:
        """Run both deployments in one process, inject failures and print counts.

        FAILURES is 'all', 'none' or the name of one failure. The last line is JSON;
        the exit status is 1 if a count that must be 0 is not.
        """
        from sardinesaddle import demo

        result = demo.run_demo(failures, seed)
        if isinstance(result, str):
            raise CommandError(result)
        if not result:
            sys.exit(EXIT_FAILED)

    def spec(self, mutants: bool = False) -> None:
        """Check the models of the protocols and print their states and verdicts.

        With --mutants each guard is broken in turn; every mutant must be detected.
        """
        from sardinesaddle.spec import runner

        if not runner.run_spec(mutants):
            sys.exit(EXIT_FAILED)

    def bench(self, name: str, json: bool = False, plot: str = "") -> None:
        """Run a benchmark and print its figures and bounds.

        NAME is a benchmark or 'list'; --json prints one JSON document; --plot FILE.png
        writes a plot if the benchmark has one.
        """
        from sardinesaddle.bench import runner

        result = runner.run_bench(name, json, plot)
        if isinstance(result, str):
            raise CommandError(result)
        if not result:
            sys.exit(EXIT_FAILED)

    def version(self) -> None:
        """Print the version number."""
        print_line(sardinesaddle.VERSION)


def check_command_names(args: list[str], commands: object, command_path: str) -> None:
    """Raise CommandError, with the closest known name, if a command does not exist.

    ``command_path`` is the part of the command line before ``args``.
    """
    if not args or args[0].startswith("-"):
        return
    names = [
        name for name, _ in inspect.getmembers(commands) if not name.startswith("_")
    ]
    command = args[0]
    if command not in names:
        matches = difflib.get_close_matches(command, names, n=1)
        hint = f"; did you mean {matches[0]!r}?" if matches else ""
        known = ", ".join(names)
        raise CommandError(
            f"{command_path} has no command {command!r}{hint} (known: {known})"
        )
    member = getattr(commands, command)
    if not callable(member):
        check_command_names(args[1:], member, f"{command_path} {command}")


def main() -> None:
    """Run the command that the arguments name; exit with its status."""
    args = sys.argv[1:]
    commands = Commands()
    try:
        check_command_names(args, commands, "sardinesaddle")
        if not args or args == ["--help"] or args == ["-h"]:
            print_help(commands)
            return
        fire.Fire(commands, command=args, name="sardinesaddle")
    except CommandError as exc:
        sys.stderr.write(f"sardinesaddle: {exc}\n")
        sys.exit(EXIT_USAGE if isinstance(exc, UsageError) else EXIT_FAILED)
    except fire.core.FireExit as exc:
        sys.exit(exc.code)


def print_help(commands: Commands) -> None:
    """Print each command with the first line of its help page."""
    print_line(
        "sardinesaddle COMMAND [ARGUMENTS]; COMMAND --help prints its help page."
    )
    for name, member in inspect.getmembers(commands):
        if not name.startswith("_"):
            text = (inspect.getdoc(member) or "").partition("\n")[0]
            print_line(f"  {name:10} {text}")


if __name__ == "__main__":
    main()
