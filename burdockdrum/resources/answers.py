"""The answers to changes, kept so that a resent one gets the first's."""

from collections.abc import Iterable
import hashlib

import msgspec

# At 9,500 changes a day this is a day's. Each takes about 150 bytes here
# and in a snapshot.
KEPT_ANSWERS = 10_000

_DIGEST_BYTES = 8


class KeptAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a change, without the resource.

    ``digest`` tells whether a change that comes under the same id is the
    same change.
    """

    change_id: str
    digest: bytes
    code: str
    revision: int
    message: str = ""


class KeptAnswers:
    """The last ``KEPT_ANSWERS`` answers by change id.

    The oldest goes first, whatever was asked for since: the bound must fall
    alike on every member of the log.
    """

    def __init__(self, answers: Iterable[KeptAnswer] = ()) -> None:
        """Take over answers, oldest first."""
        self._answers_by_change_id = {a.change_id: a for a in answers}

    def find(self, change_id: str) -> KeptAnswer | None:
        """Return the answer to a change id, if it is kept."""
        return self._answers_by_change_id.get(change_id)

    def keep(self, answer: KeptAnswer) -> None:
        """Keep one more answer, and forget the oldest over the bound."""
        self._answers_by_change_id[answer.change_id] = answer
        if len(self._answers_by_change_id) > KEPT_ANSWERS:
            oldest = next(iter(self._answers_by_change_id))
            del self._answers_by_change_id[oldest]

    def as_list(self) -> list[KeptAnswer]:
        """Return the answers, oldest first."""
        return list(self._answers_by_change_id.values())


def digest_change(change: msgspec.Struct) -> bytes:
    """Return a digest of a change."""
    encoded = msgspec.msgpack.encode(change)
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()
