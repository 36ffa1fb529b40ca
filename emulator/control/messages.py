"""What control machines say to one another, and what each of them writes to its log."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """One change of the settings, as its publisher sent it."""

    change_id: str  # the publisher's own; a change that is sent again bears the same
    settings: str  # the whole settings object, as JSON


# ---- messages ----


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Phase 1a: asks for a promise to accept nothing below this ballot."""

    version: int
    ballot: int


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Phase 1b: the promise, with what has been accepted before it."""

    version: int
    ballot: int
    accepted_ballot: int  # 0: nothing has been
    accepted: Change | None


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Phase 2a: asks to accept this change."""

    version: int
    ballot: int
    change: Change


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Phase 2b: the change is accepted, durably."""

    version: int
    ballot: int


class Refused(msgspec.Struct, frozen=True, tag=True):
    """A higher ballot has been promised."""

    version: int
    ballot: int
    promised: int


class Chosen(msgspec.Struct, frozen=True, tag=True):
    """A majority has accepted this change: it is the version for good."""

    version: int
    change: Change


class Fetch(msgspec.Struct, frozen=True, tag=True):
    """Asks for the versions chosen from this one on; the heartbeat of each machine."""

    version: int


Message = Prepare | Promise | Accept | Accepted | Refused | Chosen | Fetch


class Envelope(msgspec.Struct, frozen=True):
    """Messages from one machine to another, as the body of `POST /v1/replica`."""

    sender: int
    messages: list[Message]


# ---- records of the log ----


class PromiseRecord(msgspec.Struct, frozen=True, tag=True):
    """No ballot below this one is accepted any more."""

    version: int
    ballot: int


class AcceptRecord(msgspec.Struct, frozen=True, tag=True):
    """This change has been accepted."""

    version: int
    ballot: int
    change: Change


class ChosenRecord(msgspec.Struct, frozen=True, tag=True):
    """This change is the version."""

    version: int
    change: Change


Record = PromiseRecord | AcceptRecord | ChosenRecord
