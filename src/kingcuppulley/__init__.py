"""Balance load at layer 4 across backend servers with strict concurrency limits.

The names in `__all__` are the public API.  Everything else may change at any time.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
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
    from kingcuppulley.model import (
        ClientAccount,
        Parameter,
        Service,
        Template,
        Zone,
    )
    from kingcuppulley.settings import (
        ControlSettings,
        EntrySettings,
        load_control_settings,
        load_entry_settings,
    )

_MODULES = {
    "CorruptedRecordError": "kingcuppulley.errors",
    "KingcuppulleyError": "kingcuppulley.errors",
    "MalformedMessageError": "kingcuppulley.errors",
    "MalformedPacketError": "kingcuppulley.errors",
    "NotEnoughControlHostsError": "kingcuppulley.errors",
    "SettingsError": "kingcuppulley.errors",
    "StorageError": "kingcuppulley.errors",
    "TemplateError": "kingcuppulley.errors",
    "ClientAccount": "kingcuppulley.model",
    "Parameter": "kingcuppulley.model",
    "Service": "kingcuppulley.model",
    "Template": "kingcuppulley.model",
    "Zone": "kingcuppulley.model",
    "ControlSettings": "kingcuppulley.settings",
    "EntrySettings": "kingcuppulley.settings",
    "load_control_settings": "kingcuppulley.settings",
    "load_entry_settings": "kingcuppulley.settings",
}


def __getattr__(name: str) -> object:
    """Import a public name when it is first used.

    A process that restarts often should import only what its role needs.
    """
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(module), name)


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
