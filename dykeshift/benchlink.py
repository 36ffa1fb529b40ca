"""Adapter between the simulator's line protocol and the decision module.

It hosts the instances and translates events and actions; all decisions are the module's. Run as
`python -m dykeshift.benchlink`. Standard output carries nothing but the protocol.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable, Iterator
from typing import Any, TextIO

from dykeshift.interface import (
    Action,
    AttemptEnd,
    Cancel,
    Fail,
    ListKind,
    LoadReport,
    Log,
    Outcome,
    Refuse,
    Request,
    Send,
    ServerEntry,
    ServerListUpdate,
    ServerState,
    SetTimer,
    Watch,
)
from dykeshift.rules import Balancer
from dykeshift.settings import (
    LOAD_REPORT_FIELDS,
    MalformedInputError,
    build_load_report,
    parse_choice,
    parse_settings_json,
)

_LIST_KINDS = {
    "diff": ListKind.DELTA,
    "snapshot": ListKind.FULL,
    "disk": ListKind.CACHED,
    "error": ListKind.FAILED,
}
_STATES = {"live": ServerState.READY, "quiescing": ServerState.DRAINING, "dead": ServerState.GONE}
_OUTCOMES = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.FULL,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}
_FIELD_COUNTS = {  # tab-separated parts of each event line, including its name
    "CONFIGURE": 4,
    "SHUTDOWN": 2,
    "ANNOUNCE": 5,
    "SUBMIT": 10,
    "STREAMING": 6,
    "ANSWER": 9,
    "GONE": 3,
    "REMINDER": 3,
    "PROBE_DONE": 6,
    "NEIGHBOUR_SAYS": 4,
    "M": 8,  # an entry of the server list that the preceding ANNOUNCE begins
}


def _parse_int(text: str) -> int:
    """Parse an integer; `-` stands for a missing one and becomes 0."""
    return 0 if text == "-" else int(text)


def _parse_load_report(text: str) -> LoadReport | None:
    pairs = (pair.partition(":") for pair in text.split(","))
    return build_load_report({name: float(value) for name, _, value in pairs if name in LOAD_REPORT_FIELDS})


def _encode(instance_id: int, actions: list[Action], out: list[str]) -> None:
    """Append one line for each action."""
    for action in actions:
        if isinstance(action, Send):
            out.append(f"PLACE\t{instance_id}\t{action.request_id}\t{action.server_id}\t{action.timeout}\n")
        elif isinstance(action, SetTimer):
            out.append(f"TIMER\t{instance_id}\t{action.token}\t{action.fire_at}\n")
        elif isinstance(action, Cancel):
            out.append(f"WITHDRAW\t{instance_id}\t{action.request_id}\t{action.attempt_index}\n")
        elif isinstance(action, Refuse):
            out.append(f"DENY\t{instance_id}\t{action.request_id}\t{action.retry_after}\n")
        elif isinstance(action, Fail):
            out.append(f"FINISH_ERROR\t{instance_id}\t{action.request_id}\n")
        elif isinstance(action, Watch):
            out.append(f"WATCH\t{instance_id}\t1\n")
        elif isinstance(action, Log):
            out.append(f"EMIT\t{instance_id}\t{' '.join(action.text.split())}\n")


class SimulatorLink:
    """Hosts the instances of the decision module and passes events to them."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}

    def handle_event(self, now: int, parts: list[str], entries: list[list[str]]) -> list[Action]:
        """Pass one event to its instance and return the actions that it requests."""
        name, instance_id = parts[0], int(parts[1])
        if name == "CONFIGURE":
            seed, settings = int(parts[2]), parse_settings_json(parts[3])
            self.instances[instance_id] = Balancer(settings, seed)
            return self._call_module(self.instances[instance_id].on_start, now)
        if name == "SHUTDOWN":
            self.instances.pop(instance_id, None)
            return []
        balancer = self.instances.get(instance_id)
        if balancer is None:
            raise MalformedInputError(f"instance {instance_id} has no CONFIGURE yet")
        if name == "SUBMIT":
            if not 0 <= _parse_int(parts[6]) < len(balancer.settings.classes):
                raise MalformedInputError(f"kind {parts[6]} is not the index of a class in the settings")
            request = Request(
                id=parts[2],
                class_index=_parse_int(parts[6]),
                deadline=int(parts[8]),
                cost_hint=_parse_int(parts[7]),
                is_retry=parts[5] == "1",
                tenant_index=_parse_int(parts[4]),
                idempotency_key=None if parts[9] == "-" else parts[9],
            )
            return self._call_module(balancer.on_request, now, request)
        if name == "ANSWER":
            end = AttemptEnd(
                request_id=parts[2],
                attempt_index=int(parts[3]),
                server_id=int(parts[4]),
                outcome=parse_choice(_OUTCOMES, parts[5], "how"),
                latency=_parse_int(parts[6]),
                request_closed=parts[7] == "1",
                load_report=_parse_load_report(parts[8]),
            )
            return self._call_module(balancer.on_attempt_end, now, end)
        if name == "REMINDER":
            return self._call_module(balancer.on_timer, now, parts[2])
        if name == "GONE":
            return self._call_module(balancer.on_client_gone, now, parts[2])
        if name == "STREAMING":
            return self._call_module(balancer.on_stream_started, now, parts[2], int(parts[3]))
        if name == "ANNOUNCE":
            servers = tuple(
                ServerEntry(
                    id=int(entry[5]),
                    zone=_parse_int(entry[7]),
                    cell=_parse_int(entry[1]),
                    kind=_parse_int(entry[2]),
                    state=parse_choice(_STATES, entry[3], "availability"),
                    weight=1.0 if entry[4] == "-" else float(entry[4]),
                    started_at=_parse_int(entry[6]),
                )
                for entry in entries
            )
            return self._call_module(
                balancer.on_list, now, ServerListUpdate(parse_choice(_LIST_KINDS, parts[3], "kind"), servers)
            )
        return []  # PROBE_DONE and NEIGHBOUR_SAYS: the module sends neither probes nor messages

    @staticmethod
    def _call_module(method: Callable[..., list[Action]], *args: Any) -> list[Action]:
        try:
            return method(*args)
        except Exception as exc:
            raise DecisionError(f"{type(exc).__name__}: {exc}") from exc


class DecisionError(Exception):
    """The decision module raised an exception."""


def _split(line: str, line_number: int) -> list[str]:
    name = line.partition("\t")[0]
    count = _FIELD_COUNTS.get(name)
    if count is None:
        raise MalformedInputError(f"line {line_number}: unknown event {name[:40]!r}")
    parts = line.split("\t", count - 1) if name == "CONFIGURE" else line.split("\t")
    if len(parts) != count:
        raise MalformedInputError(
            f"line {line_number}: {name} has {len(parts) - 1} fields, expected {count - 1}"
        )
    return parts


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches of events and write the reply to each until the input ends."""
    link = SimulatorLink()
    lines: Iterator[tuple[int, str]] = enumerate((raw.rstrip("\r\n") for raw in source), 1)
    for line_number, head in lines:
        sync = head.split("\t")
        if sync[0] != "SYNC" or len(sync) != 3 or not sync[1].isdigit() or not sync[2].isdigit():
            raise MalformedInputError(
                f"line {line_number}: expected SYNC, clock time and batch number, got {head[:60]!r}"
            )
        now, out = int(sync[1]), list[str]()
        while True:
            line_number, line = next(lines, (line_number, ""))
            if line == "END":
                break
            if not line:
                raise MalformedInputError(
                    f"line {line_number}: batch {sync[2]} was cut short, expected an event or END"
                )
            parts = _split(line, line_number)
            last_line_number = line_number
            try:
                if parts[0] == "M":
                    raise MalformedInputError("list entry outside an ANNOUNCE")
                entries = []
                for _ in range(int(parts[4]) if parts[0] == "ANNOUNCE" else 0):
                    last_line_number, row = next(lines, (last_line_number, ""))
                    if row.partition("\t")[0] != "M":
                        raise MalformedInputError("expected a list entry M")
                    entries.append(_split(row, last_line_number))
                line_number = last_line_number
                _encode(int(parts[1]), link.handle_event(now, parts, entries), out)
            except DecisionError as error:
                out.append(f"BUG\t{parts[1]}\t{error}\n".replace("\r", " "))
            except MalformedInputError as exc:
                text = str(exc)
                raise MalformedInputError(
                    text if text.startswith("line ") else f"line {last_line_number}: {text}"
                ) from None
            except ValueError as exc:
                raise MalformedInputError(
                    f"line {last_line_number}: {parts[0]} expects a number: {exc}"
                ) from None
        out.append(f"END\t{sync[2]}\n")
        sink.write("".join(out))
        sink.flush()


def main() -> int:
    gc.disable()  # the module creates no reference cycles; a collection would only take time from a batch
    try:
        serve(sys.stdin, sys.stdout)
    except MalformedInputError as exc:
        print(f"benchlink: {exc}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as exc:
        print(f"benchlink: input is not UTF-8: {exc}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    return 0


if __name__ == "__main__":
    sys.exit(main())
