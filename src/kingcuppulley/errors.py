"""Define the errors that modules share; messages to operators name a remedy."""

from __future__ import annotations


class KingcuppulleyError(Exception):
    """Serve as the base class of this package's errors."""


class SettingsError(KingcuppulleyError):
    """Report one invalid setting with its file, key, value and remedy."""

    def __init__(self, file: str, key: str, value: object, remedy: str) -> None:
        self.file = file
        self.key = key
        self.value = value
        self.remedy = remedy
        super().__init__(f"{file}: {key} = {value!r}: {remedy}")


class SettingsFaults(ExceptionGroup[SettingsError]):
    """Group all faults of one settings file."""


class TemplateError(KingcuppulleyError):
    """Report one fault of a template, a client account or one of its services."""

    def __init__(self, subject: str, remedy: str) -> None:
        self.subject = subject
        self.remedy = remedy
        super().__init__(f"{subject}: {remedy}")


class CorruptedRecordError(KingcuppulleyError):
    """Report a record of a data file with an invalid length or a wrong checksum.

    A partial record at the end of the file is not an error.
    """

    def __init__(self, file: str, offset: int) -> None:
        self.file = file
        self.offset = offset
        super().__init__(
            f"{file}: the record at byte {offset} is damaged: its length is invalid or "
            "its checksum is wrong; move the data folder away and restart the control "
            "host with an empty one, so that it recovers its state from the other "
            "control hosts"
        )


class StorageError(KingcuppulleyError):
    """Report that a data file could not be read or durably written.

    Nothing in a failed write counts as accepted by this host.
    """

    def __init__(self, file: str, reason: str) -> None:
        self.file = file
        self.reason = reason
        super().__init__(
            f"{file}: data could not be read or durably written: {reason}; free space "
            "on the disk or replace it; if a change was refused with this error, "
            "resend the change with the same change identifier"
        )


class MissingMeasurementError(KingcuppulleyError):
    """Report a figure or slope that the capacity page needs and a measurement lacks."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"the measurement has no figure or slope named {name!r}; run `make "
            "measure` with this version and pass the report that it writes"
        )


class MalformedPacketError(KingcuppulleyError):
    """Report a packet that is incomplete, invalid or of an unsupported protocol."""


class MalformedMessageError(KingcuppulleyError):
    """Report a message from another process that this version cannot decode."""


class NotVotingError(KingcuppulleyError):
    """Report that a control host does not vote yet; it did not propose the change."""

    def __init__(self, host: str, state: str) -> None:
        super().__init__(
            f"control host {host} is {state} and does not vote yet, so it did not "
            "propose the change; send the change to another control host, or retry in "
            "a few seconds"
        )


class NotEnoughControlHostsError(KingcuppulleyError):
    """Report that no majority of control hosts agreed before the deadline.

    Too few of them answered, or other proposals with higher ballots conflicted.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        super().__init__(
            f"{key}: no majority of control hosts agreed before the deadline; if a "
            "change was requested, it is unknown whether it is accepted: resend it "
            "with the same change identifier"
        )


class InvalidConfigurationError(KingcuppulleyError):
    """Report a routing configuration that is invalid and was not activated."""

    def __init__(self, location: str, remedy: str) -> None:
        self.location = location
        self.remedy = remedy
        super().__init__(f"invalid routing configuration: {location}: {remedy}")


class InvalidPlacementQueryError(KingcuppulleyError):
    """Report a question for a placement that names no usable route or caller."""

    def __init__(self, parameter: str, value: str, remedy: str) -> None:
        self.fault = f"{parameter}={value}"
        self.remedy = remedy
        super().__init__(f"{self.fault}: {remedy}")


class InvalidHeartbeatError(KingcuppulleyError):
    """Report a heartbeat that does not describe a usable backend server."""

    def __init__(self, location: str, remedy: str) -> None:
        super().__init__(f"invalid heartbeat: {location}: {remedy}")
