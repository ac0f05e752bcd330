"""State transitions of the maintenance lease protocol.

The checked code is the product's own ``maintenance.quorum`` and ``maintenance.lease_ledger``. The transitions
from a state are: a proposer begins an attempt, or begins again; a request arrives at any voter, any number of
times or never; a proposer receives any set of replies that changes its stage; a node in maintenance returns
to service; a voter restarts with an empty disk. A voter that crashes between recording its vote and replying
is covered by a reply that is never received. A proposer that crashes is covered by a proposer that begins
again. The module has no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from itertools import combinations
from typing import NamedTuple, TypeVar

from spindlerelay.maintenance import quorum as voting
from spindlerelay.maintenance.lease_ledger import LeaseLedger, Voter
from spindlerelay.maintenance.quorum import Attempt, AttemptStage, Ballot, Reply, VoterState
from spindlerelay.testbed.model_checking.lease_scenarios import LeaseScenario, ScenarioVoters
from spindlerelay.testbed.model_checking.lease_states import (
    UNKNOWN_LEASE,
    Decision,
    Proposer,
    State,
    StateValues,
)

T = TypeVar("T")
NO_REQUEST = -1
Transition = tuple[str, State]  # description of the event, and the state after it


class _ProposerMove(NamedTuple):
    """A proposer's transition: its new value, the request that it sends, and the ledger that it decided."""

    description: str
    proposer: int
    request: int = NO_REQUEST
    decision: Decision | None = None


class _VoterMove(NamedTuple):
    """A voter's transition when a request arrives: the new vote, and the reply."""

    description: str
    vote: int
    reply: int


class LeaseTransitions:
    """The transitions of one scenario. Every search begins at the state ``initial``."""

    def __init__(self, scenario: LeaseScenario) -> None:
        self.scenario = scenario
        self.values = StateValues()
        self._voters = ScenarioVoters(scenario)
        self._cached_request_arrives = cache(self._request_arrives)
        self._cached_replies_received = cache(self._replies_received)
        self._cached_attempt_begins = cache(self._attempt_begins)
        self._relevant_replies = cache(self._find_relevant_replies)
        self._relevant_requests = cache(self._find_relevant_requests)
        founding_vote = self.values.votes(VoterState(ledger=self._voters.founding_ledger))
        votes = (founding_vote,) * scenario.voters + (
            self.values.votes(VoterState()),
        ) * scenario.spare_voters
        self.initial = State(
            votes=votes,
            disk_losses=(0,) * len(votes),
            proposers=(self.values.proposers(Proposer()),) * len(scenario.steps),
            requests=frozenset(),
            replies=frozenset(),
            decisions=self.values.decisions(()),
        )

    def successors(self, state: State) -> Iterator[Transition]:
        """Yield the description and the successor state of every transition from a state."""
        yield from self._proposer_transitions(state)
        yield from self._request_transitions(state)
        yield from self._disk_loss_transitions(state)

    def _proposer_transitions(self, state: State) -> Iterator[Transition]:
        ballots = frozenset(self.values.votes.values[number].promised for number in state.votes)
        for proposer_index, proposer in enumerate(state.proposers):
            for move in self._cached_attempt_begins(proposer_index, proposer, ballots):
                yield move.description, self._state_after_move(state, proposer_index, move)
            for move in self._cached_replies_received(proposer_index, proposer, state.replies):
                yield move.description, self._state_after_move(state, proposer_index, move)

    def _state_after_move(self, state: State, proposer_index: int, move: _ProposerMove) -> State:
        decisions = state.decisions
        if move.decision is not None:
            known = self.values.decisions.values[decisions]
            decisions = self.values.decisions(tuple(sorted({*known, move.decision})))
        proposers = _replaced(state.proposers, proposer_index, move.proposer)
        requests = state.requests | {move.request} if move.request != NO_REQUEST else state.requests
        requests = self._relevant_requests(state.votes, state.disk_losses, proposers, requests)
        replies = self._relevant_replies(proposers, state.replies)
        return state._replace(proposers=proposers, requests=requests, replies=replies, decisions=decisions)

    def _request_transitions(self, state: State) -> Iterator[Transition]:
        for request in state.requests:
            for voter_index, before in enumerate(state.votes):
                for move in self._cached_request_arrives(
                    voter_index, state.disk_losses[voter_index], before, request
                ):
                    replies = self._relevant_replies(state.proposers, state.replies | {move.reply})
                    if move.vote == before and replies == state.replies:
                        continue
                    votes = _replaced(state.votes, voter_index, move.vote)
                    requests = self._relevant_requests(
                        votes, state.disk_losses, state.proposers, state.requests
                    )
                    yield move.description, state._replace(votes=votes, replies=replies, requests=requests)

    def _disk_loss_transitions(self, state: State) -> Iterator[Transition]:
        if sum(state.disk_losses) >= self.scenario.max_disk_losses:
            return
        for voter_index in range(self.scenario.voters):
            disk_losses = _replaced(state.disk_losses, voter_index, state.disk_losses[voter_index] + 1)
            votes = _replaced(state.votes, voter_index, self.values.votes(self._empty_vote()))
            description = f"{self._voters.names[voter_index]} is back with an empty folder"
            yield description, state._replace(votes=votes, disk_losses=disk_losses)

    def _empty_vote(self) -> VoterState:
        if self.scenario.planted_fault == "vote lost with the folder":
            return VoterState(ledger=self._voters.founding_ledger)
        return VoterState()

    # Pruning of messages that cannot change any state

    def _awaited_stages(self, proposers: tuple[int, ...]) -> dict[Ballot, AttemptStage]:
        attempts = [self.values.proposers.values[number].attempt for number in proposers]
        return {
            attempt.ballot: attempt.stage for attempt in attempts if attempt and attempt.request() is not None
        }

    def _find_relevant_replies(self, proposers: tuple[int, ...], replies: frozenset[int]) -> frozenset[int]:
        """Return the replies that a proposer waits for."""
        awaited_stages = self._awaited_stages(proposers)
        relevant = set[int]()
        for number in replies:
            reply = self.values.replies.values[number]
            stage = awaited_stages.get(reply.ballot)
            awaited_type = voting.Promised if stage is AttemptStage.PREPARE else voting.Accepted
            if stage is not None and isinstance(reply, awaited_type):
                relevant.add(number)
        return frozenset(relevant)

    def _find_relevant_requests(
        self,
        votes: tuple[int, ...],
        disk_losses: tuple[int, ...],
        proposers: tuple[int, ...],
        requests: frozenset[int],
    ) -> frozenset[int]:
        """Return the requests that may change a vote.

        A promise to an abandoned attempt can be ignored: it only makes the voter reject requests that may get
        lost as well.
        """
        if sum(disk_losses) < self.scenario.max_disk_losses:
            return requests
        awaited_stages = self._awaited_stages(proposers)
        relevant = set[int]()
        recorded = [self.values.votes.values[number] for number in votes]
        for number in requests:
            request = self.values.requests.values[number]
            if isinstance(request, voting.Prepare):
                awaited = awaited_stages.get(request.ballot) is AttemptStage.PREPARE
                if awaited and any(vote.promised < request.ballot for vote in recorded):
                    relevant.add(number)
            elif any(vote.promised <= request.ballot and vote.accepted < request.ballot for vote in recorded):
                relevant.add(number)
        return frozenset(relevant)

    # Transitions of single proposers and voters, cached by their inputs

    def _attempt_begins(
        self, proposer_index: int, proposer_number: int, promised: frozenset[Ballot]
    ) -> list[_ProposerMove]:
        """Begin above the proposer's last ballot, or above the highest ballot that voters have promised."""
        proposer = self.values.proposers.values[proposer_number]
        if (
            not self._voters.step(proposer_index, proposer.step)
            or proposer.attempts >= self.scenario.max_attempts
        ):
            return []
        previous = proposer.attempt
        if previous is None:
            previous = Attempt(
                Ballot(0, f"p{proposer_index}"), self._voters.founders, self._voters.founding_ledger
            )
        moves = []
        for highest_promised in {previous.ballot, max(promised)}:
            attempt = voting.next_attempt(previous._replace(highest_promised=highest_promised))
            after = self.values.proposers(proposer._replace(attempts=proposer.attempts + 1, attempt=attempt))
            request = attempt.request()
            assert request is not None
            description = f"p{proposer_index} begins {attempt.ballot.round}"
            moves.append(_ProposerMove(description, after, self.values.requests(request)))
        return moves

    def _request_arrives(
        self, voter_index: int, disk_losses: int, vote_number: int, request_number: int
    ) -> list[_VoterMove]:
        identity_lost = self.scenario.planted_fault == "vote lost with the folder"
        voter = Voter(self._voters.names[voter_index], "0" if identity_lost else str(disk_losses))
        request = self.values.requests.values[request_number]
        vote = self.values.votes.values[vote_number]
        recorded, reply = voting.respond(voter, vote, request)
        ballot = request.ballot
        description = f"{type(request).__name__} {ballot.proposer_id}.{ballot.round} at {voter.node_name}"
        reply_number = self.values.replies(reply)
        moves = [_VoterMove(description, self.values.votes(recorded), reply_number)]
        if self.scenario.planted_fault == "told before recorded" and recorded != vote:
            crash = f"{description}, which tells, and dies before its record"
            moves.append(_VoterMove(crash, vote_number, reply_number))
        return moves

    def _replies_received(
        self, proposer_index: int, proposer_number: int, replies: frozenset[int]
    ) -> list[_ProposerMove]:
        """Receive the minimal sets of replies that change the attempt's stage.

        A larger set has the same effect as the minimal set that it contains.
        """
        proposer = self.values.proposers.values[proposer_number]
        attempt = proposer.attempt
        if attempt is None or attempt.request() is None:
            return []
        own_replies = [self.values.replies.values[reply_number] for reply_number in replies]
        own_replies = sorted((reply for reply in own_replies if reply.ballot == attempt.ballot), key=repr)
        sufficient = list[frozenset[Reply]]()
        moves = []
        for size in range(1, len(own_replies) + 1):
            for received in combinations(own_replies, size):
                if any(smaller <= frozenset(received) for smaller in sufficient):
                    continue
                after = self._attempt_after(attempt, received, proposer_index, proposer)
                if after.stage is not attempt.stage:
                    sufficient.append(frozenset(received))
                    voters = ", ".join(reply.voter.node_name for reply in received)
                    description = f"p{proposer_index} hears {voters}: {after.stage.value}"
                    moves.append(self._move_after_replies(description, proposer_index, proposer, after))
        return moves

    def _attempt_after(
        self, attempt: Attempt, received: tuple[Reply, ...], proposer_index: int, proposer: Proposer
    ) -> Attempt:
        change = self._voters.change(proposer_index, proposer.step, proposer.lease_number)
        for reply in received:
            attempt = voting.after_reply(attempt, reply, change)
        if self.scenario.planted_fault == "majority of the living" and attempt.request() is not None:
            # Planted fault: voters that do not reply count as dead, and the repliers count as all voters.
            if isinstance(received[0], voting.Accepted):
                return attempt._replace(stage=AttemptStage.CHOSEN)
            promises = [reply for reply in received if isinstance(reply, voting.Promised)]
            latest = max(promises, key=lambda promise: promise.accepted).ledger
            proposed = change(latest) if change else latest
            if isinstance(proposed, LeaseLedger):
                return attempt._replace(stage=AttemptStage.ACCEPT, ledger=proposed)
        return attempt

    def _move_after_replies(
        self, description: str, proposer_index: int, proposer: Proposer, attempt: Attempt
    ) -> _ProposerMove:
        if attempt.stage is not AttemptStage.CHOSEN:
            request = attempt.request()
            after = self.values.proposers(proposer._replace(attempt=attempt))
            request_number = self.values.requests(request) if request else NO_REQUEST
            return _ProposerMove(description, after, request_number)
        step = self._voters.step(proposer_index, proposer.step)
        lease_number = proposer.lease_number
        if step == "grant":
            lease = attempt.ledger.lease_of(f"p{proposer_index}")
            lease_number = lease.number if lease else UNKNOWN_LEASE
        elif step == "release":
            lease_number = 0
        after = self.values.proposers(Proposer(proposer.step + 1, 0, lease_number, attempt))
        return _ProposerMove(description, after, decision=(attempt.ballot, attempt.ledger))


def _replaced(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    return (*values[:index], value, *values[index + 1 :])
