"""The contents of endpoints' prefix caches, as endpoints report them.

One entry polls each endpoint (``listening``) and publishes the changes to the
other entries (``sharing``). Where endpoints report nothing, entries estimate
the contents from the prompts that they sent.
"""

from burdockdrum.holdings.ledger import EndpointCache
from burdockdrum.holdings.ledger import HoldingsLedger
from burdockdrum.holdings.listening import PrefixCachePoller
from burdockdrum.holdings.messages import HeldChange
from burdockdrum.holdings.services import add_services
from burdockdrum.holdings.shared_parts import SharedParts
from burdockdrum.holdings.sharing import HoldingsSharing
from burdockdrum.holdings.source import HeldEvents
from burdockdrum.holdings.source import HeldList
from burdockdrum.holdings.source import HoldingsUnknown
from burdockdrum.holdings.source import NullSource
from burdockdrum.holdings.source import PrefixCacheSource

__all__ = [
    "add_services",
    "EndpointCache",
    "HeldChange",
    "HeldEvents",
    "HeldList",
    "HoldingsLedger",
    "HoldingsSharing",
    "HoldingsUnknown",
    "NullSource",
    "PrefixCachePoller",
    "PrefixCacheSource",
    "SharedParts",
]
