"""Consensus on the ledger: a register that a proposer can rewrite with a majority of the voters.

The protocol is Lamport's Paxos, used as a rewritable register (CASPaxos, Rystsov 2018). There is no leader
and no expiry, so nothing depends on a clock. A process that was stopped for an hour does no harm when it
resumes, since its ballot is outdated by then. The module does no I/O; all types are immutable values.

| role | event | action |
| --- | --- | --- |
| proposer | a change is requested | sends all voters a prepare with a ballot above any known ballot |
| voter | prepare with a ballot not below its promise | promises the ballot, and returns its accepted ledger |
| proposer | a majority promised | changes the newest returned ledger, and sends an accept with the result |
| voter | accept with a ballot not below its promise | accepts the ledger |
| proposer | a majority accepted | the ledger is chosen |
| voter | prepare or accept with a lower ballot | returns its promised ballot; the proposer retries above it |

Rules of the protocol:

1. A voter records its vote on disk before it responds. The caller writes the record.
2. A majority is counted among all voters that a ledger names, including voters that are down. Acceptances
   are counted among the voters of the proposed ledger, and promises among the voters of the ledger that the
   prepare found. If that ledger names other voters than the attempt asked, the proposer retries with the
   voters of the ledger.
3. A ledger that a prepare found may have been accepted by a single voter only. Before a change of the
   voters, a majority therefore accepts the ledger unchanged. A read, too, is valid only after a majority has
   accepted the ledger that was read.
4. A directory without a vote takes part in no majority until a ledger names it (``Voter``).
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from spindlerelay.maintenance.lease_ledger import Change, Denied, LeaseLedger, Voter


class Ballot(NamedTuple):
    """Identifies one attempt of one proposer; ballots are totally ordered."""

    round: int = 0
    proposer_id: str = ""


NO_BALLOT = Ballot()


class VoterState(NamedTuple):
    """The state that a voter keeps on disk.

    Attributes:
        promised: highest ballot that the voter has promised.
        accepted: ballot of the last accepted ledger.
        ledger: last accepted ledger.
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    ledger: LeaseLedger = LeaseLedger()


class Prepare(NamedTuple):
    """Request to promise a ballot."""

    ballot: Ballot


class Accept(NamedTuple):
    """Request to accept a ledger."""

    ballot: Ballot
    ledger: LeaseLedger


class Promised(NamedTuple):
    """Promise of a ballot, with the voter's last accepted ledger.

    Attributes:
        accepted: ballot with which the voter accepted the ledger.
    """

    voter: Voter
    ballot: Ballot
    accepted: Ballot
    ledger: LeaseLedger


class Accepted(NamedTuple):
    """Acceptance of a ledger."""

    voter: Voter
    ballot: Ballot


class BallotRejected(NamedTuple):
    """Rejection of a request, because the voter has promised a higher ballot."""

    voter: Voter
    ballot: Ballot
    promised: Ballot


Request = Prepare | Accept
Reply = Promised | Accepted | BallotRejected


def respond(voter: Voter, state: VoterState, request: Request) -> tuple[VoterState, Reply]:
    """Return the state to record and the reply to send afterwards. An unchanged state needs no write."""
    ballot = request.ballot
    if ballot < state.promised:
        return state, BallotRejected(voter, ballot, state.promised)
    if isinstance(request, Prepare):
        return state._replace(promised=ballot), Promised(voter, ballot, state.accepted, state.ledger)
    return VoterState(ballot, ballot, request.ledger), Accepted(voter, ballot)


class AttemptStage(Enum):
    """Stages of an attempt.

    In the stage ``CONFIRM`` the voters are asked to accept the ledger that the prepare found, unchanged.
    """

    PREPARE = "prepare"
    CONFIRM = "read"
    ACCEPT = "write"
    CHOSEN = "stands"
    RETRY = "again"
    DENIED = "denied"


# The stages that a reply can lead to, by the present stage. Stages without an entry are final.
TRANSITIONS: dict[AttemptStage, tuple[AttemptStage, ...]] = {
    AttemptStage.PREPARE: (
        AttemptStage.CONFIRM,
        AttemptStage.ACCEPT,
        AttemptStage.RETRY,
        AttemptStage.DENIED,
    ),
    AttemptStage.CONFIRM: (AttemptStage.RETRY,),
    AttemptStage.ACCEPT: (AttemptStage.CHOSEN, AttemptStage.RETRY),
}


class Attempt(NamedTuple):
    """State of a proposer during one ballot.

    Attributes:
        voters: voters that the prepare is sent to; once a majority has accepted a ledger, the ledger's
            voters.
        chosen_ledger: a ledger known to be chosen, which a change of voters requires; None if none is known.
        promised: promises received.
        accepted: voters that have accepted the ledger.
        ledger: the ledger that the prepare found, then the proposed ledger, which becomes the chosen ledger.
        highest_promised: highest ballot that a voter has promised to another proposer.
        denial: explanation of a denied change.
    """

    ballot: Ballot
    voters: tuple[Voter, ...]
    chosen_ledger: LeaseLedger | None = None
    stage: AttemptStage = AttemptStage.PREPARE
    promised: tuple[Promised, ...] = ()
    accepted: tuple[Voter, ...] = ()
    ledger: LeaseLedger = LeaseLedger()
    highest_promised: Ballot = NO_BALLOT
    denial: Denied | None = None

    @property
    def recipients(self) -> frozenset[Voter]:
        """Return the voters to send the request to.

        Only the voters that a ledger names may accept it. If a voter that the ledger removes could be the
        only one to accept it, that voter would refer every proposer to the remaining voters, which do not
        know the ledger and would refer the proposer back.
        """
        return frozenset(self.voters if self.stage is AttemptStage.PREPARE else self.ledger.voters)

    def request(self) -> Request | None:
        """Return the request to send, and to resend to voters that do not reply; None in a final stage."""
        match self.stage:
            case AttemptStage.PREPARE:
                return Prepare(self.ballot)
            case AttemptStage.CONFIRM | AttemptStage.ACCEPT:
                return Accept(self.ballot, self.ledger)
            case _:
                return None


def is_majority(replied: Sequence[Voter], voters: Sequence[Voter]) -> bool:
    """Return whether ``replied`` includes a majority of all ``voters``, including voters that are down."""
    return 2 * len(set(replied) & set(voters)) > len(voters)


def first_attempt(proposer_id: str, voters: tuple[Voter, ...]) -> Attempt:
    """Return the first attempt of a proposer.

    The proposer id must be unique to the process, since no ballot may be used again after a restart.
    """
    return Attempt(Ballot(1, proposer_id), voters)


def next_attempt(attempt: Attempt) -> Attempt:
    """Return the next attempt, with a ballot above all ballots that the proposer has seen or used."""
    highest_ballot = max(attempt.highest_promised, attempt.ballot)
    return Attempt(
        Ballot(highest_ballot.round + 1, attempt.ballot.proposer_id),
        attempt.voters,
        attempt.chosen_ledger,
        highest_promised=highest_ballot,
    )


def after_reply(attempt: Attempt, reply: Reply, change: Change | None) -> Attempt:
    """Return the attempt after one reply; an attempt without a ``change`` only reads the ledger.

    A reply to another ballot, or from a voter that is not a recipient, is ignored.
    """
    if (
        attempt.stage not in TRANSITIONS
        or reply.ballot != attempt.ballot
        or reply.voter not in attempt.recipients
    ):
        return attempt
    if isinstance(reply, BallotRejected):
        return attempt._replace(
            stage=AttemptStage.RETRY, highest_promised=max(attempt.highest_promised, reply.promised)
        )
    if isinstance(reply, Promised):
        return _on_promised(attempt, reply, change)
    return _on_accepted(attempt, reply)


def _on_promised(previous: Attempt, reply: Promised, change: Change | None) -> Attempt:
    if previous.stage is not AttemptStage.PREPARE or any(
        other.voter == reply.voter for other in previous.promised
    ):
        return previous
    attempt = previous._replace(promised=(*previous.promised, reply))
    if not is_majority([other.voter for other in attempt.promised], attempt.voters):
        return attempt
    return _propose(attempt, change)


def _on_accepted(previous: Attempt, reply: Accepted) -> Attempt:
    if previous.stage is AttemptStage.PREPARE:
        return previous
    attempt = previous._replace(accepted=(*previous.accepted, reply.voter))
    voters = attempt.ledger.voters
    if not is_majority(attempt.accepted, voters):
        return attempt
    stage = AttemptStage.CHOSEN if previous.stage is AttemptStage.ACCEPT else AttemptStage.RETRY
    return attempt._replace(stage=stage, chosen_ledger=attempt.ledger, voters=voters)


def _propose(attempt: Attempt, change: Change | None) -> Attempt:
    """Apply the change to the newest ledger of the promises, and move to the next stage."""
    newest_ledger = max(attempt.promised, key=lambda reply: reply.accepted).ledger
    if newest_ledger.voters != attempt.voters:  # the voters have changed, and the new ones must be asked
        return attempt._replace(stage=AttemptStage.RETRY, voters=newest_ledger.voters, chosen_ledger=None)
    if change is None:
        return attempt._replace(stage=AttemptStage.ACCEPT, ledger=newest_ledger)
    changed = change(newest_ledger)
    if isinstance(changed, Denied):
        return attempt._replace(stage=AttemptStage.DENIED, denial=changed, ledger=newest_ledger)
    if changed.voters != newest_ledger.voters and attempt.chosen_ledger != newest_ledger:
        return attempt._replace(stage=AttemptStage.CONFIRM, ledger=newest_ledger)
    return attempt._replace(stage=AttemptStage.ACCEPT, ledger=changed)
