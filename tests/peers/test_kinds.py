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
    "vms.Ask",
    "vms.Changes",
    "vms.DataCentreSummary",
    "vms.Hello",
    "vms.Welcome",
]


class Renamed(Message):
    """A message of the test that had another name."""

    wire_kind = "tests.FormerName"


class Derived(Renamed):
    """A message of the test with a base class that names its kind."""


def find_message_types(base):
    """Return all classes that derive from one."""
    found = []
    for message_type in base.__subclasses__():
        found += [message_type, *find_message_types(message_type)]
    return found


class KindsTest(unittest.TestCase):
    """What a peer of another version reads as the kind of a message."""

    def test_kinds_stay_as_peers_know_them(self):
        # During an upgrade a message of a kind that a peer doesn't know is
        # dropped: renaming a class must not rename its kind.
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

    def test_class_has_the_kind_that_it_names(self):
        self.assertEqual("tests.FormerName", Renamed.kind())

    def test_kind_that_a_base_class_names_is_not_inherited(self):
        # Otherwise one handler would get the messages of both classes.
        self.assertEqual("tests.Derived", Derived.kind())
