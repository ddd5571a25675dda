"""Tests of the kinds that messages have on the wire."""

import importlib
import pkgutil
import unittest

import burdockdrum
from burdockdrum.peers import Message

KINDS = [
    "admission.Borrow",
    "admission.Lent",
    "admission.ReturnLoan",
    "claims.EpochCall",
    "claims.EpochReply",
    "claims.RecoverCall",
    "claims.RecoverReply",
    "claims.SettleCall",
    "claims.SettleReply",
    "claims.TakeCall",
    "claims.TakeReply",
    "claims.TicketCall",
    "claims.TicketReply",
    "claims.VoteCall",
    "claims.VoteReply",
    "configuration.Follow",
    "configuration.InForceQuery",
    "configuration.InForceReply",
    "configuration.Propose",
    "configuration.Proposed",
    "configuration.Update",
    "consensus.AppendReply",
    "consensus.AppendRequest",
    "consensus.FoundingProposal",
    "consensus.FoundingQuery",
    "consensus.FoundingReply",
    "consensus.JoinRequest",
    "consensus.LeadReply",
    "consensus.LeadRequest",
    "consensus.MemberChangeRequest",
    "consensus.MemberMessage",
    "consensus.ProposeReply",
    "consensus.ProposeRequest",
    "consensus.ReadReply",
    "consensus.ReadRequest",
    "consensus.RollbackNotice",
    "consensus.SnapshotReply",
    "consensus.SnapshotRequest",
    "consensus.VoteReply",
    "consensus.VoteRequest",
    "consensus.WitnessQuery",
    "consensus.WitnessReply",
    "holdings.HoldingsNotice",
    "holdings.HoldingsQuestion",
    "leases.AcquireLease",
    "leases.GiveBackLease",
    "leases.LeaseAnswer",
    "leases.RenewLeases",
    "passthrough.PermitReply",
    "passthrough.PermitRequest",
    "passthrough.PlaceNotice",
    "passthrough.PlaceReply",
    "passthrough.PlaceRequest",
    "passthrough.RetryLoanReply",
    "passthrough.RetryLoanRequest",
    "passthrough.TenureNotice",
    "passthrough.UsedPlacesNotice",
    "quarantine.ClearNote",
    "quarantine.LossNote",
    "quarantine.TrialCall",
    "quarantine.TrialEnd",
    "quarantine.TrialReply",
    "quotas.DataCentreUse",
    "quotas.OthersUse",
    "quotas.UseNotice",
    "registrations.DataCentreLoad",
    "registrations.LoadNotice",
    "registrations.RegionLoad",
    "registrations.Watch",
    "registrations.Watched",
    "software_versions.VersionNotice",
    "software_versions.VersionReply",
    "streams.OriginNotice",
    "streams.OriginQuery",
    "streams.OriginReply",
    "vms.Ask",
    "vms.Changes",
    "vms.DataCentreSummary",
    "vms.Hello",
    "vms.Welcome",
]


class Renamed(Message):
    """A test message with an explicit kind."""

    wire_kind = "tests.FormerName"


class Derived(Renamed):
    """A test message whose base class has an explicit kind."""


def find_message_types(base):
    """Return all direct and indirect subclasses."""
    found = []
    for message_type in base.__subclasses__():
        found += [message_type, *find_message_types(message_type)]
    return found


class KindsTest(unittest.TestCase):
    """The kinds that peers of other versions know."""

    def test_kinds_do_not_change(self):
        # Peers drop messages of an unknown kind, so renaming a class must not
        # rename its kind.
        for module in pkgutil.walk_packages(
            burdockdrum.__path__, "burdockdrum."
        ):
            if not module.name.endswith("__main__"):
                importlib.import_module(module.name)
        kinds = [
            message_type.kind()
            for message_type in find_message_types(Message)
            if message_type.__module__.startswith("burdockdrum.")
        ]
        self.assertEqual(KINDS, sorted(kinds))

    def test_class_may_set_its_kind(self):
        self.assertEqual("tests.FormerName", Renamed.kind())

    def test_kind_set_by_a_base_class_is_not_inherited(self):
        # Otherwise one handler would receive the messages of both classes.
        self.assertEqual("tests.Derived", Derived.kind())
