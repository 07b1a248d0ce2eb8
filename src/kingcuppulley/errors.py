"""Define every error that the system raises, each with its remedy in the message."""

from __future__ import annotations


class KingcuppulleyError(Exception):
    """Serve as the base of every error of this package."""


class SettingsError(KingcuppulleyError):
    """Report one faulty setting by file, key, value and remedy."""

    def __init__(self, file: str, key: str, value: object, remedy: str) -> None:
        self.file = file
        self.key = key
        self.value = value
        self.remedy = remedy
        super().__init__(f"{file}: {key} = {value!r}: {remedy}")


class SettingsFaults(ExceptionGroup[SettingsError]):
    """Carry every fault of one settings file."""


class TemplateError(KingcuppulleyError):
    """Report one fault of a template or of an account's parameters."""

    def __init__(self, subject: str, remedy: str) -> None:
        self.subject = subject
        self.remedy = remedy
        super().__init__(f"{subject}: {remedy}")


class CorruptedRecordError(KingcuppulleyError):
    """Report a record in the middle of a data file that fails its checksum."""

    def __init__(self, file: str, offset: int) -> None:
        self.file = file
        self.offset = offset
        super().__init__(
            f"{file}: the record at byte {offset} fails its checksum; move the data "
            "folder away and start the control host again with an empty one, so that "
            "it recovers its state from the other control hosts"
        )


class StorageError(KingcuppulleyError):
    """Report that a write could not be made durable; nothing was accepted."""

    def __init__(self, file: str, reason: str) -> None:
        self.file = file
        self.reason = reason
        super().__init__(
            f"{file}: {reason}; free space or replace the disk, then send the change "
            "again with the same change identifier"
        )


class MissingMeasurementError(KingcuppulleyError):
    """Report a measurement that does not hold a figure which the page needs."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"the measurement has no figure named {name!r}; run `make measure` with "
            "this version and name its report"
        )


class MalformedPacketError(KingcuppulleyError):
    """Report a packet that is truncated or carries a protocol that is not served."""


class MalformedMessageError(KingcuppulleyError):
    """Report a message of another process that this version cannot decode."""


class NotVotingError(KingcuppulleyError):
    """Report that a control host takes no changes yet; nothing was accepted."""

    def __init__(self, host: str, state: str) -> None:
        super().__init__(
            f"{host} is {state} and takes no changes yet; send the change to another "
            "control host, or again in a few seconds"
        )


class NotEnoughControlHostsError(KingcuppulleyError):
    """Report that a majority of control hosts did not answer before the deadline."""

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(
            f"{key}: no majority of control hosts answered, so whether the change is "
            "accepted is unknown; send it again with the same change identifier"
        )


class InvalidConfigurationError(KingcuppulleyError):
    """Report a routing configuration that cannot be put in force."""

    def __init__(self, place: str, remedy: str) -> None:
        self.place = place
        self.remedy = remedy
        super().__init__(f"{place}: {remedy}")


class InvalidHeartbeatError(KingcuppulleyError):
    """Report a heartbeat that names no usable backend server."""

    def __init__(self, place: str, remedy: str) -> None:
        super().__init__(f"{place}: {remedy}")
