"""The contents of endpoints' prefix caches, as endpoints report them.

One entry polls each endpoint (``polling``) and publishes the changes to the
other entries (``sharing``). Where endpoints report nothing, entries estimate
the contents from the prompts that they sent.
"""

from burdockdrum.holdings.messages import PrefixCacheChange
from burdockdrum.holdings.polling import PrefixCachePoller
from burdockdrum.holdings.services import add_services
from burdockdrum.holdings.shared_parts import SharedParts
from burdockdrum.holdings.sharing import PrefixCacheSharing
from burdockdrum.holdings.source import NullSource
from burdockdrum.holdings.source import PrefixCacheEvents
from burdockdrum.holdings.source import PrefixCacheSnapshot
from burdockdrum.holdings.source import PrefixCacheSource
from burdockdrum.holdings.source import PrefixCacheUnavailable
from burdockdrum.holdings.table import EndpointCache
from burdockdrum.holdings.table import PrefixCacheTable

__all__ = [
    "add_services",
    "EndpointCache",
    "NullSource",
    "PrefixCacheChange",
    "PrefixCacheEvents",
    "PrefixCachePoller",
    "PrefixCacheSharing",
    "PrefixCacheSnapshot",
    "PrefixCacheSource",
    "PrefixCacheTable",
    "PrefixCacheUnavailable",
    "SharedParts",
]
