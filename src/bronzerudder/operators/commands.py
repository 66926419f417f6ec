"""Implements the operators' subcommands."""

from __future__ import annotations

from typing import Any, NamedTuple

from bronzerudder.cli.api import EXIT_OK, EXIT_USAGE
from bronzerudder.configuration.rows import Decision, RowKey
from bronzerudder.operators.editor import RowEditor
from bronzerudder.operators.errors import (
    OperatorError,
    not_found,
    not_in_force_everywhere,
    refused,
    superseded,
)
from bronzerudder.operators.instances import InstancePoller, InstanceReport
from bronzerudder.operators.output import show_error, show_json, show_table
from bronzerudder.operators.tables import RowView, TableReader
from bronzerudder.processes.platform import PlatformStore


class EditOptions(NamedTuple):
    """Flags of ``set`` and ``delete``; the timeout is in seconds."""

    if_revision: int | None
    wait: bool
    dry_run: bool
    as_json: bool
    timeout_s: float


async def edit_row(
    platform: PlatformStore, key: RowKey, value: bytes | None, options: EditOptions
) -> int:
    """Write or delete a row and report the decision."""
    if options.dry_run:
        trial = await TableReader(platform.objects).try_edit(key, value)
        if isinstance(trial, OperatorError):
            return show_error(trial)
        return _show_decision(trial, 0, options)
    editor = RowEditor(platform.objects)
    written = await editor.write(key, value, options.if_revision)
    if isinstance(written, OperatorError):
        return show_error(written)
    decision = await editor.await_decision(written.edit, options.timeout_s)
    if isinstance(decision, OperatorError):
        return show_error(decision)
    if decision is None:
        return _show_superseded(key, written.edit.version, options)
    if decision.reason or not options.wait:
        return _show_decision(decision, written.replaced_revision, options)
    return await _wait_until_in_force(platform, decision, written.replaced_revision, options)


async def show_row(platform: PlatformStore, key: RowKey, as_json: bool) -> int:
    """Show one row with its status."""
    view = await TableReader(platform.objects).get(key)
    if isinstance(view, OperatorError):
        return show_error(view)
    if view is None:
        return show_error(not_found(f"{key.kind} {key.name}"))
    if as_json:
        show_json(view)
        return EXIT_OK
    show_table(("FIELD", "VALUE"), [(name, _format_value(value)) for name, value in _flatten(view)])
    return EXIT_OK


async def list_rows(platform: PlatformStore, kind: str, as_json: bool) -> int:
    """List the rows of a table with their status."""
    views = await TableReader(platform.objects).list(kind)
    if isinstance(views, OperatorError):
        return show_error(views)
    if as_json:
        show_json(views)
        return EXIT_OK
    rows = [
        (view["name"], view["revision"], view["in_force_revision"], _format_status(view))
        for view in views
    ]
    show_table(("NAME", "REVISION", "IN FORCE", "STATUS"), rows)
    return EXIT_OK


async def show_history(platform: PlatformStore, key: RowKey, as_json: bool) -> int:
    """Show the decisions on a row, oldest first."""
    decisions = await TableReader(platform.objects).history(key)
    if isinstance(decisions, OperatorError):
        return show_error(decisions)
    if as_json:
        show_json([_decision_json(decision) for decision in decisions])
        return EXIT_OK
    rows = [
        (decision.revision, decision.edit.version, _describe_change(decision), decision.reason)
        for decision in decisions
    ]
    show_table(("CONFIGURATION", "REVISION", "CHANGE", "REASON"), rows)
    return EXIT_OK


async def show_status(platform: PlatformStore, as_json: bool) -> int:
    """Show the recorded configuration and the revision in force at each live instance."""
    recorded = await TableReader(platform.objects).load()
    if isinstance(recorded, OperatorError):
        return show_error(recorded)
    poller = InstancePoller(platform.instances)
    reports = await poller.poll_all()
    await poller.close()
    if isinstance(reports, OperatorError):
        return show_error(reports)
    snapshot = recorded.snapshot
    refusals = [(key.kind, key.name, refusal.reason) for key, refusal in snapshot.refused.items()]
    if as_json:
        instances = [_report_json(report) for report in reports]
        show_json({"revision": snapshot.revision, "refused": refusals, "instances": instances})
        return EXIT_OK
    print(f"configuration {snapshot.revision}: {len(snapshot.rows)} rows, {len(refusals)} refused")
    if refusals:
        show_table(("TABLE", "ROW", "REASON"), refusals)
    rows = [
        (report.instance.name, report.instance.role, report.revision, _format_state(report))
        for report in reports
    ]
    show_table(("INSTANCE", "ROLE", "CONFIGURATION", "STATE"), rows)
    return EXIT_OK


async def _wait_until_in_force(
    platform: PlatformStore, decision: Decision, replaced_revision: int, options: EditOptions
) -> int:
    poller = InstancePoller(platform.instances)
    behind = await poller.wait_until_in_force(decision.revision, options.timeout_s)
    await poller.close()
    if isinstance(behind, OperatorError):
        return show_error(behind)
    if not behind:
        return _show_decision(decision, replaced_revision, options, [])
    _show_decision(decision, replaced_revision, options, behind)
    names = ", ".join(report.instance.name for report in behind)
    return show_error(not_in_force_everywhere(names))


def _show_decision(
    decision: Decision,
    replaced_revision: int,
    options: EditOptions,
    behind: list[InstanceReport] | None = None,
) -> int:
    if options.as_json:
        document = {**_decision_json(decision), "replaced_revision": replaced_revision}
        document["dry_run"] = options.dry_run
        if behind is not None:
            document["not_in_force_at"] = [report.instance.name for report in behind]
        show_json(document)
        return EXIT_USAGE if decision.reason else EXIT_OK
    key = decision.edit.key
    if decision.reason:
        return show_error(refused(f"{key.kind} {key.name}", decision.reason))
    replacing = f", replacing revision {replaced_revision}" if replaced_revision else ""
    scope = ", in force everywhere" if behind == [] else ""
    if options.dry_run:
        print(f"{key.kind} {key.name}: would be accepted")
        return EXIT_OK
    print(
        f"{key.kind} {key.name}: accepted as revision {decision.edit.version}{replacing}, "
        f"configuration {decision.revision}{scope}"
    )
    return EXIT_OK


def _show_superseded(key: RowKey, version: int, options: EditOptions) -> int:
    if options.as_json:
        show_json({"name": key.name, "revision": version, "outcome": "superseded"})
    return show_error(superseded(f"{key.kind} {key.name}", version))


def _decision_json(decision: Decision) -> dict[str, Any]:
    return {
        "name": decision.edit.key.name,
        "revision": decision.edit.version,
        "configuration_revision": decision.revision,
        "outcome": "refused" if decision.reason else "accepted",
        "reason": decision.reason,
        "change": _describe_change(decision),
    }


def _report_json(report: InstanceReport) -> dict[str, Any]:
    return {
        "name": report.instance.name,
        "role": report.instance.role,
        "address": report.instance.address,
        "revision": report.revision,
        "ready": report.ready,
        "reason": report.reason,
    }


def _format_state(report: InstanceReport) -> str:
    if report.reason:
        return f"no answer: {report.reason}"
    return "ready" if report.ready else "not ready"


def _describe_change(decision: Decision) -> str:
    return "delete" if decision.edit.value is None else "set"


def _format_status(view: RowView) -> str:
    return f"{view['status']}: {view['reason']}" if view["reason"] else view["status"]


def _flatten(view: RowView) -> list[tuple[str, Any]]:
    row = view["row"]
    fields = sorted(row.items()) if isinstance(row, dict) else [("row", row)]
    return [(name, value) for name, value in view.items() if name != "row"] + fields


def _format_value(value: Any) -> str:
    if isinstance(value, list):
        return ", ".join(_format_value(item) for item in value)
    if isinstance(value, dict):
        return ", ".join(f"{name}={inner}" for name, inner in value.items())
    return str(value)
