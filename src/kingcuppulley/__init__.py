"""Balance load at layer 4 before backend servers that are lent unwillingly.

The names below are the public surface.  Everything else may change at any time.
"""

from kingcuppulley.errors import (
    CorruptedRecordError,
    KingcuppulleyError,
    MalformedMessageError,
    MalformedPacketError,
    NotEnoughControlHostsError,
    SettingsError,
    StorageError,
    TemplateError,
)
from kingcuppulley.model import ClientAccount, Parameter, Service, Template, Zone
from kingcuppulley.settings import (
    ControlSettings,
    EntrySettings,
    load_control_settings,
    load_entry_settings,
)

__all__ = [
    "ClientAccount",
    "ControlSettings",
    "CorruptedRecordError",
    "EntrySettings",
    "KingcuppulleyError",
    "MalformedMessageError",
    "MalformedPacketError",
    "NotEnoughControlHostsError",
    "Parameter",
    "Service",
    "SettingsError",
    "StorageError",
    "Template",
    "TemplateError",
    "Zone",
    "load_control_settings",
    "load_entry_settings",
]
