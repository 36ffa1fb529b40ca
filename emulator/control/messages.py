"""The messages that control machines exchange, and the records that each of them writes to its log."""

from __future__ import annotations

import msgspec


class Change(msgspec.Struct, frozen=True):
    """One change of the settings, as its publisher sent it."""

    change_id: str  # chosen by the publisher, who repeats it when it sends the change again
    settings: str  # the full settings object as JSON


# ---- messages ----


class Prepare(msgspec.Struct, frozen=True, tag=True):
    """Phase 1a: requests a promise to accept no proposal with a lower ballot."""

    version: int
    ballot: int


class Promise(msgspec.Struct, frozen=True, tag=True):
    """Phase 1b: the promise, with the proposal that the acceptor has accepted last."""

    version: int
    ballot: int
    accepted_ballot: int  # 0: none has been accepted
    accepted: Change | None


class Accept(msgspec.Struct, frozen=True, tag=True):
    """Phase 2a: requests the acceptance of this change."""

    version: int
    ballot: int
    change: Change


class Accepted(msgspec.Struct, frozen=True, tag=True):
    """Phase 2b: the change has been accepted and recorded durably."""

    version: int
    ballot: int


class Refused(msgspec.Struct, frozen=True, tag=True):
    """Rejects a proposal because a higher ballot has been promised."""

    version: int
    ballot: int
    promised: int


class Chosen(msgspec.Struct, frozen=True, tag=True):
    """A majority has accepted this change: it is the final content of the version."""

    version: int
    change: Change


class Fetch(msgspec.Struct, frozen=True, tag=True):
    """Requests all chosen versions from this one on; also serves as the heartbeat of each machine."""

    version: int


Message = Prepare | Promise | Accept | Accepted | Refused | Chosen | Fetch


class Envelope(msgspec.Struct, frozen=True):
    """Messages from one machine to another; the body of `POST /v1/replica`."""

    sender: int
    messages: list[Message]


# ---- records of the log ----


class PromiseRecord(msgspec.Struct, frozen=True, tag=True):
    """The machine accepts no proposal with a lower ballot than this one from now on."""

    version: int
    ballot: int


class AcceptRecord(msgspec.Struct, frozen=True, tag=True):
    """The machine has accepted this change."""

    version: int
    ballot: int
    change: Change


class ChosenRecord(msgspec.Struct, frozen=True, tag=True):
    """This change has been chosen as the version."""

    version: int
    change: Change


Record = PromiseRecord | AcceptRecord | ChosenRecord
