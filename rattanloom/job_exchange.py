"""Sees to it that only one of the placers that are linked to each other has a job.

Two placers get one job if its client posts it again while the daemon of the first post
has not noticed that the client is gone. Placers tell each other which jobs they have. A
placer starts a job that another one has only once that one has released it: the earlier
post has ended there, and no run of the job is active.
"""

from collections import defaultdict
from collections.abc import Callable
from math import inf

from attrs import define, field

from rattanloom.clock import Clock
from rattanloom.decision_log import DecisionLog
from rattanloom.links.hub import LinkHub
from rattanloom.links.link import Link, send_to_all
from rattanloom.links.messages import (
    JOBS_HELD_VERSION,
    JobReleased,
    JobsHeld,
    ReleaseJob,
)
from rattanloom.metrics import Metrics
from rattanloom.placement.inherited_work import FORMER_LEASE_MAX_MS
from rattanloom.placement.jobs import JobOutcome, OutcomeKind
from rattanloom.placement.placer import Placer
from rattanloom.placement.runs import PlacedJob, job_id_of

log = DecisionLog("placement")

LATER_POST = "its client has posted it again, to another placer"
# Pause between announcements: a client posts a job again 1,300 ms after its first post,
# and runs of a lost placer have ended within 940 ms.
ANNOUNCE_INTERVAL_MS = 200
# A job that arrives this long after its client posted it may arrive at the same time as
# a later post does elsewhere.
HELD_UP_MIN_MS = 800
# Time for a new placer to open links to the others, as after its restart. It can't tell
# them from those that it has lost, and a zone that is cut off waits, too.
UNLINKED_WAIT_MS = 150
# Ages of two posts that differ by less do not tell which one is the later.
AGE_MARGIN_MS = 100


@define(eq=False)
class PeerJobs:
    """The jobs of a peer's placer, as it announced them.

    ``link`` is the newest link to this incarnation of the peer, ``told_link`` the one
    on which the own jobs were announced to it.
    """

    link: Link
    told_link: Link | None = None
    job_ids: set[str] = field(factory=set)
    has_list: bool = False

    @property
    def node(self) -> str:
        """Return the peer's node."""
        return self.link.peer.node

    def is_placer(self) -> bool:
        """Return whether the peer is linked and owns zones."""
        return not self.link.closed and bool(self.link.peer_zones)


@define(eq=False, repr=False)
class JobExchange:
    """Exchanges the ids of jobs with other daemons, and claims jobs from placers.

    A placer announces its jobs to all linked daemons, as each may be the next placer.
    ``owners`` returns the nodes that own zones. ``_peers`` is by node and incarnation.
    ``_announced`` are the jobs that were announced at ``_announced_ms``. ``_claimed``
    has the peers that have not released a job, with the time of the post for which it
    was claimed; ``_releasing`` has the peers to which a release is to be confirmed, by
    job id. ``_placing_since_ms`` is since when this daemon owns zones. ``_lacks_lists``
    is set while other placers have not announced their jobs.
    """

    clock: Clock
    hub: LinkHub
    placer: Placer
    metrics: Metrics
    owners: Callable[[], set[str]]
    _peers: dict[tuple[str, int], PeerJobs] = field(factory=dict)
    _announced: set[str] = field(factory=set)
    _announced_ms: float = -inf
    _claimed: dict[str, dict[PeerJobs, float]] = field(factory=dict)
    _releasing: dict[str, list[PeerJobs]] = field(factory=lambda: defaultdict(list))
    _placing_since_ms: float = inf
    _lacks_lists: bool = False

    def tick(self) -> None:
        """Announce changes, confirm releases, and forget the peers that were lost."""
        self.on_placers_changed()
        if self.clock.now_ms() >= self._announced_ms + ANNOUNCE_INTERVAL_MS:
            self._announce_changes()
        for job_id in list(self._releasing):
            self._confirm_if_released(job_id)
        for key, peer in list(self._peers.items()):
            if self._is_over(peer):
                del self._peers[key]

    def may_run_elsewhere(self, job: PlacedJob) -> bool:
        """Return whether another placer that is or was linked may run a job."""
        return self._lacks_lists or any(
            self._may_have(peer, job.job_id)
            for peer in self._claimed.get(job.job_id, ())
        )

    def on_placers_changed(self) -> None:
        """Announce the jobs to new peers; wait for the lists of other placers.

        Placers keep links to each other; one without a link is waited for only while
        this daemon may not have opened it yet.
        """
        if not self.hub.own_hello.zones:
            self._lacks_lists, self._placing_since_ms = False, inf
            return
        now_ms = self.clock.now_ms()
        self._placing_since_ms = min(self._placing_since_ms, now_ms)
        peers = {self._peer(link) for link in filter(_knows, self.hub.open_links())}
        for peer in peers:
            self._tell(peer)
        placers = [peer for peer in peers if peer.is_placer()]
        self._lacks_lists = not all(peer.has_list for peer in placers)
        if now_ms < self._placing_since_ms + UNLINKED_WAIT_MS:
            linked = {link.peer.node for link in self.hub.open_links()}
            self._lacks_lists |= bool(self.owners() - linked - {self.placer.node})

    def on_accepted(self, job: PlacedJob) -> None:
        """Claim a new job of the placer from those that have it, or may get it.

        A lost placer that had the job counts as a former one.
        """
        for peer in self._peers.values():
            has_job = job.job_id in peer.job_ids
            if not self._is_lost(peer):
                if has_job or (self._is_uncertain(job) and peer.is_placer()):
                    self._claim(job, peer)
            elif has_job and peer.node not in job.moved_from:
                if peer.node in self.owners():
                    self._claim(job, peer)
                else:
                    job.add_former_placers((peer.node,))

    def on_ended(self, job: PlacedJob) -> None:
        """Forget the claims of a job that the placer has no longer."""
        self._claimed.pop(job.job_id, None)

    def handle(self, link: Link, message: JobsHeld | ReleaseJob | JobReleased) -> None:
        """Handle a message of another placer."""
        peer = self._peer(link)
        if isinstance(message, JobsHeld):
            self._record_held(peer, message)
        elif isinstance(message, ReleaseJob):
            self._release(peer, message)
        else:
            self._record_released(peer, message)

    def _peer(self, link: Link) -> PeerJobs:
        """Return the record of a peer, and note that it has this link."""
        key = link.peer.node, link.peer.started_wall_ms
        peer = self._peers.setdefault(key, PeerJobs(link))
        if peer.link.closed:
            peer.link = link
        return peer

    def _is_lost(self, peer: PeerJobs) -> bool:
        """Return whether no link to this incarnation of a peer is open."""
        current = self.hub.link(peer.node)
        if peer.link.closed and current is not None:
            self._peer(current)
        return peer.link.closed

    def _tell(self, peer: PeerJobs) -> None:
        """Announce all jobs to a peer that has not got them on an open link."""
        if peer.told_link is None or peer.told_link.closed:
            self._announce_changes()
            peer.told_link = peer.link
            peer.link.send(JobsHeld(tuple(self._announced), is_complete=True))
            for job_id, claimed in self._claimed.items():
                if peer in claimed:
                    self._send_claim(self.placer.jobs[job_id], peer)

    def _announce_changes(self) -> None:
        """Announce the jobs that came and went to the peers that were told before."""
        self._announced_ms = self.clock.now_ms()
        own = self._own_jobs()
        came, went = own - self._announced, self._announced - own
        self._announced = own
        if came or went:
            told = [peer.told_link for peer in self._peers.values()]
            links = [link for link in told if link is not None and not link.closed]
            send_to_all(links, JobsHeld(tuple(came), tuple(went)))

    def _own_jobs(self) -> set[str]:
        """Return the ids of the jobs here, also of those with active runs only."""
        runs = map(job_id_of, self.placer.active_runs)
        return set(self.placer.jobs).union(runs)

    def _is_uncertain(self, job: PlacedJob) -> bool:
        """Return whether a later post of a job may arrive elsewhere just now."""
        is_old = self.clock.now_ms() - job.posted_ms > HELD_UP_MIN_MS
        return bool(job.former_placers) or is_old

    def _may_have(self, peer: PeerJobs, job_id: str) -> bool:
        """Return whether a peer that has not released a job may run it.

        If its link was lost, it may if it had the job then, and its leases last.
        """
        if not self._is_lost(peer):
            return True
        return job_id in peer.job_ids and not self._is_over(peer)

    def _is_over(self, peer: PeerJobs) -> bool:
        """Return whether the leases that a lost peer granted are over.

        One that still owns zones may go on without a link, unless it has restarted.
        """
        if self.clock.now_ms() <= peer.link.closed_ms + FORMER_LEASE_MAX_MS:
            return False
        return peer.node not in self.owners() or self.hub.link(peer.node) is not None

    def _record_held(self, peer: PeerJobs, message: JobsHeld) -> None:
        is_first, peer.has_list = not peer.has_list, True
        if message.is_complete:
            peer.job_ids.clear()
        peer.job_ids.difference_update(message.ended_ids)
        peer.job_ids.update(message.job_ids)
        for job_id in message.job_ids:
            job = self.placer.jobs.get(job_id)
            if job is not None:
                self._claim(job, peer)
        if is_first and peer.is_placer():
            for job in list(self.placer.jobs.values()):
                if self._is_uncertain(job):
                    self._claim(job, peer)
        if self._lacks_lists:
            self.on_placers_changed()
            self.placer.start_waiting_tasks()

    def _claim(self, job: PlacedJob, peer: PeerJobs) -> None:
        """Ask a placer to release a job, and start nothing of it until it has."""
        claimed = self._claimed.setdefault(job.job_id, {})
        if claimed.get(peer) == job.posted_ms:
            return
        claimed[peer] = job.posted_ms
        job.sent_before = True
        if job.job_id in peer.job_ids:
            self.metrics.count("jobs_claimed")
            log.info("job_claimed", job=job.job_id, placer=peer.node)
        self._send_claim(job, peer)

    def _send_claim(self, job: PlacedJob, peer: PeerJobs) -> None:
        message = ReleaseJob(
            job.job_id,
            self.clock.now_ms() - job.posted_ms,
            job.submission,
            len(job.moved_from),
            peer.node in job.moved_from,
        )
        peer.link.send(message)

    def _release(self, peer: PeerJobs, message: ReleaseJob) -> None:
        """End a job for a later post of it; refuse if the own post is the later one."""
        job_id = message.job_id
        job = self.placer.jobs.get(job_id)
        if job is not None:
            if self._is_kept(job, peer, message):
                peer.link.send(JobReleased(job_id, released=False))
                return
            log.info("job_released", job=job_id, placer=peer.node)
            self._end(job)
        peer.job_ids.add(job_id)
        if message.is_withdrawn:
            peer.link.send(JobReleased(job_id, released=True))
            return
        self._releasing[job_id].append(peer)
        self._confirm_if_released(job_id)

    def _is_kept(self, job: PlacedJob, peer: PeerJobs, claim: ReleaseJob) -> bool:
        """Return whether this placer keeps a job that a peer claims.

        Of one post, the placer to which it was sent last keeps it: the other one has
        not received its withdrawal yet. Of two posts, that of the later one does.
        """
        is_first = self.placer.node < peer.node
        if claim.submission == job.submission:
            moves = len(job.moved_from)
            return moves > claim.moves or (moves == claim.moves and is_first)
        later_by_ms = claim.age_ms - (self.clock.now_ms() - job.posted_ms)
        return is_first if abs(later_by_ms) < AGE_MARGIN_MS else later_by_ms > 0

    def _confirm_if_released(self, job_id: str) -> None:
        """Confirm a release once no run of the job is active here."""
        if not self.placer.has_active_runs(job_id):
            for peer in self._releasing.pop(job_id):
                peer.link.send(JobReleased(job_id, released=True))

    def _record_released(self, peer: PeerJobs, message: JobReleased) -> None:
        claimed = self._claimed.get(message.job_id, {})
        if peer not in claimed:
            return
        posted_ms = claimed.pop(peer)
        job = self.placer.jobs[message.job_id]
        if message.released:
            peer.job_ids.discard(message.job_id)
            self.placer.start_waiting_tasks()
        elif posted_ms != job.posted_ms:
            self._claim(job, peer)
        else:
            self._end(job)

    def _end(self, job: PlacedJob) -> None:
        outcome = JobOutcome(job.job_id, OutcomeKind.GIVEN_UP, LATER_POST)
        self.placer.endings.end(job, outcome)


def _knows(link: Link) -> bool:
    """Return whether a peer is of a build that knows the messages of this module."""
    return link.peer.protocol_version >= JOBS_HELD_VERSION
