"""Define the command line for operators; `docs/operate` explains every command."""

from __future__ import annotations

import json
import signal
import sys
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import typer
from eliot import to_file

from kingcuppulley.errors import KingcuppulleyError, SettingsFaults
from kingcuppulley.operators.client import (
    AdministrationClient,
    AdministrationError,
    UnreachableError,
)
from kingcuppulley.operators.placement_query import (
    EntryHostUnreachableError,
    PlacementQueryRefusedError,
    decode_explanation,
    fetch_placement,
    render_explanation,
)
from kingcuppulley.settings import (
    load_control_settings,
    load_entry_settings,
)


class ExitCode(IntEnum):
    """List the exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    FAULTY_SETTINGS = 3
    REFUSED = 4
    CONFLICT = 5
    UNREACHABLE = 6


application = typer.Typer(no_args_is_help=True, add_completion=False)
template = typer.Typer(no_args_is_help=True)
account = typer.Typer(no_args_is_help=True)
zone = typer.Typer(no_args_is_help=True)
application.add_typer(
    template, name="template", help="Accept, show and withdraw templates."
)
application.add_typer(
    account, name="account", help="Accept, show and withdraw client accounts."
)
application.add_typer(
    zone,
    name="zone",
    help="Take availability zones out of service and bring them back.",
)

SettingsFile = Annotated[Path, typer.Argument(help="Path of the settings file (TOML).")]
DocumentFile = Annotated[Path, typer.Argument(help="Path of the document (TOML).")]
ControlOption = Annotated[
    str,
    typer.Option(
        "--control",
        envvar="KINGCUPPULLEY_CONTROL",
        help="HOST:PORT of a control host's administration API.",
    ),
]
TokenOption = Annotated[
    str,
    typer.Option("--token", envvar="KINGCUPPULLEY_TOKEN", help="Your operator token."),
]
VersionOption = Annotated[
    int | None,
    typer.Option(
        "--version",
        help="Apply the change only to this version; 0 if there is none yet. "
        "Default: the current version.",
    ),
]
ChangeOption = Annotated[
    str,
    typer.Option(
        "--change-id",
        help="Identifier of the change; pass the same one to resend it. "
        "Default: a new one.",
    ),
]
DryRunOption = Annotated[
    bool,
    typer.Option(
        "--dry-run",
        help="Show which services would be added, removed or changed; change nothing.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the answer as JSON.")]


@application.command()
def entry(settings_file: SettingsFile) -> None:
    """Run an entry host until SIGTERM or SIGINT; then drain its requests and stop."""
    from kingcuppulley.composition import EntryDaemon

    with _errors_as_exit_codes():
        settings = load_entry_settings(settings_file)
        reactor = _start_logging_and_reactor()
        daemon = EntryDaemon(settings, reactor)
        _run(reactor, daemon.start, daemon.leave)


@application.command()
def control(
    settings_file: SettingsFile,
    initialise: Annotated[
        bool,
        typer.Option(
            "--initialise",
            help="Create the data folder and exit; "
            "only at the first start of a deployment.",
        ),
    ] = False,
) -> None:
    """Run a control host, or create its data folder with --initialise."""
    from kingcuppulley.composition import ControlDaemon, initialise_control_host

    with _errors_as_exit_codes():
        settings = load_control_settings(settings_file)
        if initialise:
            initialise_control_host(settings)
            return
        reactor = _start_logging_and_reactor()
        daemon = ControlDaemon(settings, reactor)
        _run(reactor, daemon.start, daemon.stop)


@application.command()
def check(settings_file: SettingsFile) -> None:
    """Check a settings file and print every fault in it."""
    with _errors_as_exit_codes():
        settings = tomllib.loads(settings_file.read_text())
        if "data_folder" in settings:
            load_control_settings(settings_file)
        else:
            load_entry_settings(settings_file)
        typer.echo(f"{settings_file}: no faults")


@application.command()
def explain(
    folder: Annotated[
        Path, typer.Argument(help="Folder with the log files of the processes.")
    ],
    words: Annotated[
        list[str],
        typer.Argument(
            help="Words that an event must all contain, such as a flow's id."
        ),
    ],
    around: Annotated[
        float,
        typer.Option(
            "--around",
            help="Also print events that concern no flow, up to this many seconds "
            "before and after.",
        ),
    ] = 1.0,
) -> None:
    """Print the events of one flow or change from all processes in order of time."""
    from kingcuppulley.operators.story import read_timeline

    with _errors_as_exit_codes():
        timeline = read_timeline(folder, words, around)
        for event in timeline:
            typer.echo(str(event))
        if not timeline:
            typer.echo(
                f"{folder}: no event contains all of: {', '.join(words)}; check the "
                "words and the folder; the log may also have omitted the event",
                err=True,
            )
            raise typer.Exit(ExitCode.FAILED)


@application.command()
def flow(
    address: Annotated[str, typer.Argument(help="IPv4 address of the caller.")],
    port: Annotated[int, typer.Argument(help="Port of the caller.")],
    called: Annotated[
        str, typer.Argument(help="IPv4 address that the caller connects to.")
    ],
    called_port: Annotated[
        int, typer.Argument(help="Port that the caller connects to.")
    ],
) -> None:
    """Print the id that identifies a caller's flow in the logs."""
    from kingcuppulley.operators.story import flow_id

    typer.echo(flow_id(address, port, called, called_port))


@application.command("explain-placement")
def explain_placement(
    host: Annotated[
        str, typer.Argument(help="HOST:PORT at which an entry host serves its metrics.")
    ],
    route: Annotated[
        str, typer.Option("--route", help="ADDRESS:PORT that the caller connects to.")
    ],
    caller: Annotated[
        str, typer.Option("--caller", help="ADDRESS:PORT of the caller.")
    ],
    as_json: JsonOption = False,
) -> None:
    """Explain where a new flow would be placed now, and why, without placing it."""
    with _errors_as_exit_codes():
        body = fetch_placement(host, route, caller)
        explanation = decode_explanation(host, body)
        # As received: a newer host may add fields that this command does not know.
        typer.echo(body.decode() if as_json else render_explanation(explanation))


@application.command()
def capacity(
    measurement: Annotated[
        Path, typer.Argument(help="Path of a report of `make measure`.")
    ],
) -> None:
    """Compute the rows of the capacity page from measured slopes."""
    from kingcuppulley.experiments.capacity import (
        CapacityModel,
        DeploymentSize,
        load_measurement,
        render_rows,
    )

    with _errors_as_exit_codes():
        model = CapacityModel(load_measurement(measurement), DeploymentSize())
        typer.echo(render_rows(model.rows()))


@application.command()
def status(
    control_address: ControlOption, token: TokenOption, as_json: JsonOption = False
) -> None:
    """Show a control host's state, the active versions and configuration faults."""
    with _errors_as_exit_codes():
        _show(AdministrationClient(control_address, token).get("/status"), as_json)


@application.command()
def audit(
    control_address: ControlOption, token: TokenOption, as_json: JsonOption = False
) -> None:
    """Show recent changes: when, by which operator and with which outcome."""
    with _errors_as_exit_codes():
        _show(AdministrationClient(control_address, token).get("/audit"), as_json)


@template.command("accept")
def template_accept(
    file: DocumentFile,
    control_address: ControlOption,
    token: TokenOption,
    version: VersionOption = None,
    change_id: ChangeOption = "",
    dry_run: DryRunOption = False,
    as_json: JsonOption = False,
) -> None:
    """Accept a new or changed template."""
    _put(
        "templates", file, control_address, token, version, change_id, dry_run, as_json
    )


@template.command("show")
def template_show(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Show a template and its version."""
    _get(f"/templates/{name}", control_address, token, as_json)


@template.command("withdraw")
def template_withdraw(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    version: VersionOption = None,
    change_id: ChangeOption = "",
    as_json: JsonOption = False,
) -> None:
    """Withdraw a template that no client account uses."""
    _withdraw(f"/templates/{name}", control_address, token, version, change_id, as_json)


@account.command("accept")
def account_accept(
    file: DocumentFile,
    control_address: ControlOption,
    token: TokenOption,
    version: VersionOption = None,
    change_id: ChangeOption = "",
    dry_run: DryRunOption = False,
    as_json: JsonOption = False,
) -> None:
    """Accept a new or changed client account."""
    _put("accounts", file, control_address, token, version, change_id, dry_run, as_json)


@account.command("show")
def account_show(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    as_json: JsonOption = False,
) -> None:
    """Show a client account and its version."""
    _get(f"/accounts/{name}", control_address, token, as_json)


@account.command("withdraw")
def account_withdraw(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    version: VersionOption = None,
    change_id: ChangeOption = "",
    as_json: JsonOption = False,
) -> None:
    """Withdraw a client account and its services."""
    _withdraw(f"/accounts/{name}", control_address, token, version, change_id, as_json)


@zone.command("out")
def zone_out(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    change_id: ChangeOption = "",
    as_json: JsonOption = False,
) -> None:
    """Take an availability zone out of service and abandon its flows."""
    _set_zone(name, False, control_address, token, change_id, as_json)


@zone.command("in")
def zone_in(
    name: str,
    control_address: ControlOption,
    token: TokenOption,
    change_id: ChangeOption = "",
    as_json: JsonOption = False,
) -> None:
    """Bring an availability zone back into service."""
    _set_zone(name, True, control_address, token, change_id, as_json)


def _set_zone(
    name: str,
    in_service: bool,
    control_address: str,
    token: str,
    change_id: str,
    as_json: bool,
) -> None:
    with _errors_as_exit_codes():
        client = AdministrationClient(control_address, token)
        document = {"name": name, "in_service": in_service}
        path = f"/zones/{name}"
        _show(client.change(path, document, None, change_id), as_json)


def _put(
    collection: str,
    file: Path,
    control_address: str,
    token: str,
    version: int | None,
    change_id: str,
    dry_run: bool,
    as_json: bool,
) -> None:
    with _errors_as_exit_codes():
        document = tomllib.loads(file.read_text())
        client = AdministrationClient(control_address, token)
        path = f"/{collection}/{document.get('name', '')}"
        answer = client.change(path, document, version, change_id, dry_run)
        _show(answer, as_json)


def _withdraw(
    path: str,
    control_address: str,
    token: str,
    version: int | None,
    change_id: str,
    as_json: bool,
) -> None:
    with _errors_as_exit_codes():
        client = AdministrationClient(control_address, token)
        _show(client.change(path, None, version, change_id), as_json)


def _get(path: str, control_address: str, token: str, as_json: bool) -> None:
    with _errors_as_exit_codes():
        _show(AdministrationClient(control_address, token).get(path), as_json)


def _show(document: Any, as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps(document))
        return
    if isinstance(document, list):
        for element in document:
            typer.echo(json.dumps(element))
        return
    for key, value in document.items():
        text = value if isinstance(value, str) else json.dumps(value)
        typer.echo(f"{key}: {text}")


@contextmanager
def _errors_as_exit_codes() -> Iterator[None]:
    try:
        yield
    except SettingsFaults as group:
        for fault in group.exceptions:
            typer.echo(str(fault), err=True)
        raise typer.Exit(ExitCode.FAULTY_SETTINGS) from group
    except PlacementQueryRefusedError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.REFUSED) from error
    except AdministrationError as error:
        typer.echo(str(error), err=True)
        is_conflict = error.status == 409
        code = ExitCode.CONFLICT if is_conflict else ExitCode.REFUSED
        raise typer.Exit(code) from error
    except (UnreachableError, EntryHostUnreachableError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNREACHABLE) from error
    except (KingcuppulleyError, OSError, ValueError, RecursionError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.FAILED) from error


def _start_logging_and_reactor() -> Any:
    from twisted.internet import reactor

    to_file(sys.stdout)
    return reactor


def _run(reactor: Any, start: Callable[[], None], stop: Callable[[], None]) -> None:
    def on_signal(_number: int, _frame: object) -> None:
        reactor.callFromThread(stop)

    reactor.callWhenRunning(start)
    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    reactor.run(installSignalHandlers=False)
