"""The declarative resources that operators write."""

from burdockdrum.resources.answers import KEPT_ANSWERS
from burdockdrum.resources.configuration import Configuration
from burdockdrum.resources.specs import ClientSpec
from burdockdrum.resources.specs import DataCentreSpec
from burdockdrum.resources.specs import OperatorSpec
from burdockdrum.resources.specs import PriorityClassSpec
from burdockdrum.resources.specs import Quota
from burdockdrum.resources.specs import RegionSpec
from burdockdrum.resources.specs import Resource
from burdockdrum.resources.specs import ResourceKey
from burdockdrum.resources.specs import Revised
from burdockdrum.resources.specs import ServiceSpec
from burdockdrum.resources.specs import Spec
from burdockdrum.resources.specs import SPECS_BY_KIND
from burdockdrum.resources.specs import TeamSpec
from burdockdrum.resources.store import ACCEPTED
from burdockdrum.resources.store import Change
from burdockdrum.resources.store import ChangeResult
from burdockdrum.resources.store import CONFLICT
from burdockdrum.resources.store import Delete
from burdockdrum.resources.store import INVALID
from burdockdrum.resources.store import Put
from burdockdrum.resources.store import ResourceStore
from burdockdrum.resources.store import StoreSnapshot
from burdockdrum.resources.tokens import hash_token
from burdockdrum.resources.validation import parse_spec
from burdockdrum.resources.validation import ResourceError

__all__ = [
    "ACCEPTED",
    "Change",
    "ChangeResult",
    "ClientSpec",
    "Configuration",
    "CONFLICT",
    "DataCentreSpec",
    "Delete",
    "hash_token",
    "INVALID",
    "KEPT_ANSWERS",
    "OperatorSpec",
    "parse_spec",
    "PriorityClassSpec",
    "Put",
    "Quota",
    "RegionSpec",
    "Resource",
    "ResourceError",
    "ResourceKey",
    "ResourceStore",
    "Revised",
    "ServiceSpec",
    "Spec",
    "SPECS_BY_KIND",
    "StoreSnapshot",
    "TeamSpec",
]
