"""The nodes of the fleet, known from their rows in the store and from gossip."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tamarackshelf.contracts.rows import RowChange, RowKey
from tamarackshelf.decoding import InvalidInput
from tamarackshelf.gossip.link import GossipLink
from tamarackshelf.gossip.task import GossipSettings, GossipTask
from tamarackshelf.net import ConnectFailed, ConnectionLost, HttpClient
from tamarackshelf.node.peer_store import PeerStore
from tamarackshelf.node.settings import NodeSettings
from tamarackshelf.observe import Timeline
from tamarackshelf.policy.membership import MemberStatus
from tamarackshelf.store.fleet_rows import NODE_TABLE, NodeRecord, decode_node
from tamarackshelf.store.table_watch import TableWatch
from tamarackshelf.tasks import stop_tasks
from tamarackshelf.world import EntryVm

ALIVE_PATH = "/alive"
# A live node answers its peers within milliseconds, a busy one within one tick of its
# background tasks.
ALIVE_TIMEOUT_S = 0.5
# A node that other nodes cannot reach may live on behind a cut for this long.
DEAD_MEMORY_S = 60.0
# Distinguishes this fleet's datagrams from those of other systems on the same network;
# it is not a secret.
GOSSIP_KEY = b"tamarackshelf-gossip"


class Fleet:
    """The live nodes; this node is always among them until it starts to leave."""

    def __init__(
        self,
        settings: NodeSettings,
        own: NodeRecord,
        watch: TableWatch,
        http: HttpClient,
        timeline: Timeline,
        wall_ms: Callable[[], int],
    ) -> None:
        self.own = own
        self.is_leaving = False
        self._http = http
        self._timeline = timeline
        self._rng = random.Random()
        self._records: dict[str, NodeRecord] = {own.vm: own}
        self._watch = watch
        self.gossip = GossipTask(
            GossipSettings(own.vm, own.incarnation, settings.peer_address),
            http,
            timeline,
            random.Random(),
            lambda receiver: GossipLink(GOSSIP_KEY, wall_ms, receiver),
        )
        self._join_task: asyncio.Task[None] | None = None
        watch.on_change(self._apply_changes)

    async def start(self) -> None:
        """Apply the rows of the nodes read so far, and start to probe the nodes.

        Rumours that other nodes no longer spread are fetched from some of them.
        """
        self._apply_all_rows()
        await self.gossip.start()
        self._join_task = asyncio.get_running_loop().create_task(self.gossip.join())

    async def close(self) -> None:
        """Stop probing."""
        await stop_tasks(self._join_task)
        await self.gossip.close()

    async def leave(self) -> None:
        """Mark this node as leaving and tell the other nodes that it stops."""
        self.is_leaving = True
        await self.gossip.leave()

    def list_live_nodes(self) -> list[NodeRecord]:
        """Return the nodes not considered dead, including this one until it leaves."""
        return [
            record
            for name, record in self._records.items()
            if (name == self.own.vm and not self.is_leaving)
            or (
                name != self.own.vm
                and self._get_member_status(name) is not MemberStatus.DEAD
            )
        ]

    def count_listed_nodes(self) -> int:
        """Return the number of nodes that may be alive behind a cut, with this one.

        Nodes that stopped as planned or died DEAD_MEMORY_S ago do not count.
        """
        now_s = asyncio.get_running_loop().time()
        membership = self.gossip.membership
        return sum(
            name == self.own.vm
            or membership.status(name) is not MemberStatus.DEAD
            or (
                not membership.has_left(name)
                and membership.status_age_s(name, now_s) < DEAD_MEMORY_S
            )
            for name in self._records
        )

    def peers(self) -> list[NodeRecord]:
        """Return the other live nodes in random order."""
        others = [
            record for record in self.list_live_nodes() if record.vm != self.own.vm
        ]
        self._rng.shuffle(others)
        return others

    def peer_stores(self) -> list[PeerStore]:
        """Return for each live peer a row store whose calls that peer relays."""
        return [PeerStore(self._http, record.peers) for record in self.peers()]

    def find(self, vm: str) -> NodeRecord | None:
        """Return the record of a node, or None when the node is not listed."""
        return self._records.get(vm)

    def is_gone(self, vm: str, incarnation: int) -> bool:
        """Return whether this incarnation of a node no longer runs."""
        if vm == self.own.vm:
            return incarnation != self.own.incarnation
        record = self._records.get(vm)
        if record is None or record.incarnation > incarnation:
            return True
        return self._get_member_status(vm) is MemberStatus.DEAD

    async def check_alive(self, vm: str, incarnation: int) -> bool:
        """Ask a node that gossip may wrongly consider dead whether it is alive.

        Return False when the node is known to stop, or when its record has another
        incarnation, which is another process.
        """
        record = self._records.get(vm)
        if record is None or record.incarnation != incarnation:
            return False
        try:
            answer = await self._http.request(
                record.peers,
                "GET",
                ALIVE_PATH,
                timeout_s=ALIVE_TIMEOUT_S,
                new_connection=True,
            )
        except (ConnectFailed, ConnectionLost):
            return False
        return answer.status == 200 and not self.gossip.membership.has_left(vm)

    def _get_member_status(self, vm: str) -> MemberStatus:
        return self.gossip.membership.status(vm)

    def _apply_all_rows(self) -> None:
        rows = self._watch.rows.values()
        self._apply_changes(tuple(RowChange(r.at, r.value, r.version) for r in rows))

    def _apply_changes(self, changes: tuple[RowChange, ...]) -> None:
        for change in changes:
            self._apply_change(change)
        entries = {name: _to_entry(record) for name, record in self._records.items()}
        self.gossip.set_entries(entries)

    def _apply_change(self, change: RowChange) -> None:
        name = change.at.key
        if name == self.own.vm:
            return
        if change.value is None:
            if self._records.pop(name, None) is not None:
                self._timeline.record(
                    "node_unlisted", name, "the node's row was deleted"
                )
            return
        try:
            record = decode_node(change.value)
        except InvalidInput as error:
            self._timeline.record("row_unreadable", f"{NODE_TABLE}/{name}", str(error))
            return
        known = self._records.get(name)
        if known is None or record.incarnation > known.incarnation:
            self._records[name] = record
            self._timeline.record(
                "node_listed",
                name,
                "the node's row is new",
                incarnation=record.incarnation,
            )

    def find_own_row_version(self) -> int | None:
        """Return the version of this node's own row, or None when there is no row."""
        row = self._watch.rows.get(RowKey(NODE_TABLE, "", self.own.vm))
        return None if row is None else row.version


def _to_entry(record: NodeRecord) -> EntryVm:
    return EntryVm(
        name=record.vm,
        data_centre=record.data_centre,
        gateway=record.callers,
        gateway_peer=record.peers,
        runner_peer=record.peers,
        controller=record.peers,
        gossip=record.peers,
    )


__all__ = ["ALIVE_PATH", "Fleet"]
