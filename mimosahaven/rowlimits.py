"""Rate limits of rows, split over the daemons without shared state."""

import dataclasses
import math
import random
from collections.abc import Iterable
from collections.abc import Mapping

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib
from mimosahaven import tokenbucket

# Smaller amounts are not worth a message.
AMOUNT_MIN = 0.01


@dataclasses.dataclass(frozen=True)
class BorrowRequest:
    """Tokens to ask a peer for.

    Attributes:
      peer: Name of the peer's target.
      row_id: Row that the tokens are for.
      amount: Tokens.
    """

    peer: str
    row_id: str
    amount: float


class RowLimiter:
    """Holds this daemon's share of the limit of each row.

    A daemon that is new in the list starts with empty buckets and without a
    share, because the other daemons may still use shares of an older list. It
    may borrow meanwhile: the lender has given those tokens up.
    """

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._settings = settings.row_limits
        self._settle_ms = settings.gossip.share_settle_ms
        self._enabled = settings.mechanisms.row_limits
        self._target = settings.target.name
        self._rng = rng
        self._buckets: dict[str, tokenbucket.TokenBucket] = {}
        self._share = 0.0
        self._listed_ms: float | None = None
        self._settled = False
        self._peers: list[str] = []
        self._surplus: dict[str, Mapping[str, float]] = {}
        self._asked_ms: dict[tuple[str, str], float] = {}
        self._round_ms: float | None = None

    def apply_rows(self, rows: Iterable[table_lib.Row], now_ms: float) -> None:
        """Takes in the rows of a table that is now in force.

        A row keeps its tokens when its limit changes. The bucket of a new row
        starts full.
        """
        self._settle(now_ms)
        buckets = {}
        for row in rows:
            if row.rate_limit_per_s is None or row.row_id in buckets:
                continue
            bucket = self._buckets.get(row.row_id)
            is_new = bucket is None
            if bucket is None:
                bucket = tokenbucket.TokenBucket(row.rate_limit_per_s, now_ms)
            bucket.fill(now_ms)
            bucket.limit_per_s = row.rate_limit_per_s
            self._set_share(bucket, now_ms)
            if is_new:
                bucket.tokens = bucket.burst
            buckets[row.row_id] = bucket
        self._buckets = buckets

    def apply_list(
        self, members: Iterable[fleet_lib.Member], now_ms: float
    ) -> None:
        """Takes in a list of VMs, and with it this daemon's share.

        Leaving daemons count, because they may still use their shares.
        """
        members = list(members)
        own = next((m for m in members if m.target == self._target), None)
        if own is None:
            self._listed_ms, self._share, self._peers = None, 0.0, []
            self._settled = False
        else:
            domains = {m.failure_domain for m in members}
            domain_targets = [
                m.target
                for m in members
                if m.failure_domain == own.failure_domain
            ]
            self._share = 1.0 / len(domains) / len(domain_targets)
            self._peers = sorted(set(domain_targets) - {self._target})
            if self._listed_ms is None:
                self._listed_ms = now_ms
        for peer in self._surplus.keys() - set(self._peers):
            del self._surplus[peer]
        self._asked_ms = {
            key: asked_ms
            for key, asked_ms in self._asked_ms.items()
            if key[0] in self._peers
        }
        self._settle(now_ms)
        for bucket in self._buckets.values():
            self._set_share(bucket, now_ms)

    def take(self, row: table_lib.Row, now_ms: float) -> bool:
        """Takes the token for one call.

        Returns:
          False when the row has a limit and no token is left, so that the
          call is to be refused with ROW_LIMIT.
        """
        if not self._enabled or row.rate_limit_per_s is None:
            return True
        self._settle(now_ms)
        bucket = self._buckets.get(row.row_id)
        if bucket is None:
            return False
        return bucket.take(now_ms)

    def surplus(self, now_ms: float) -> dict[str, float]:
        """Returns the tokens of each row that may be lent, for the digest."""
        if not self._enabled:
            return {}
        self._settle(now_ms)
        lendable = {
            row_id: self._lendable(bucket, now_ms)
            for row_id, bucket in self._buckets.items()
        }
        return {row: n for row, n in lendable.items() if n >= AMOUNT_MIN}

    def update_peer_surplus(
        self, peer: str, surplus: Mapping[str, float]
    ) -> None:
        """Takes in what a peer of the own failure domain may lend."""
        if peer in self._peers:
            self._surplus[peer] = dict(surplus)

    def borrow_requests(self, now_ms: float) -> list[BorrowRequest]:
        """Returns what to ask which peer now.

        It is called often; a round of requests starts every ask_interval_ms.
        """
        if not self._enabled:
            return []
        self._settle(now_ms)
        if self._round_ms is None:
            self._round_ms = now_ms
        passed_ms = now_ms - self._round_ms
        if passed_ms < self._settings.ask_interval_ms:
            return []
        self._round_ms = now_ms
        short = []
        for row_id, bucket in self._buckets.items():
            bucket.close_round(passed_ms)
            shortage = self._shortage(bucket, now_ms)
            if shortage >= AMOUNT_MIN:
                short.append((row_id, shortage))
        # The requests of a round are bounded over all rows, because a control
        # message costs the same in an overload that concerns many rows.
        fanout = self._settings.ask_fanout
        self._rng.shuffle(short)
        wants = []
        for row_id, shortage in short[:fanout]:
            peer_count = max(1, fanout // len(short))
            wants += self._ask(row_id, shortage, peer_count, now_ms)
        return wants

    def grant(self, row_id: str, amount: float, now_ms: float) -> float:
        """Takes tokens for a peer off the own bucket.

        Args:
          row_id: Row that the peer is short of.
          amount: Tokens that it asks for.
          now_ms: Present time.

        Returns:
          Tokens to send; 0 when there is nothing to lend. They are gone from
          here even if the message is lost.
        """
        self._settle(now_ms)
        bucket = self._buckets.get(row_id)
        if not self._enabled or bucket is None or not amount > 0:
            return 0.0
        given = min(amount, self._lendable(bucket, now_ms))
        if given < AMOUNT_MIN:
            return 0.0
        bucket.tokens -= given
        return given

    def receive_borrowed(
        self, row_id: str, amount: float, now_ms: float
    ) -> None:
        """Takes in tokens that a peer has given up."""
        bucket = self._buckets.get(row_id)
        if not self._enabled or bucket is None or not 0 < amount < math.inf:
            return
        bucket.fill(now_ms)
        bucket.add_borrowed(amount, now_ms + self._settings.keep_borrowed_ms)

    def _settle(self, now_ms: float) -> None:
        """Brings the share into force share_settle_ms after the listing."""
        if self._settled or self._listed_ms is None:
            return
        if now_ms - self._listed_ms >= self._settle_ms:
            self._settled = True
            for bucket in self._buckets.values():
                self._set_share(bucket, now_ms)

    def _set_share(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> None:
        share = self._share if self._settled else 0.0
        bucket.set_share(share, self._settings.burst_ms, now_ms)

    def _own_need(self, bucket: tokenbucket.TokenBucket) -> float:
        return bucket.demand_per_s * self._settings.ahead_ms / 1000

    def _lendable(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> float:
        bucket.fill(now_ms)
        return max(0.0, bucket.tokens - self._own_need(bucket))

    def _shortage(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> float:
        if bucket.demand_per_s < AMOUNT_MIN:
            return 0.0
        bucket.fill(now_ms)
        income = bucket.rate_per_s * self._settings.ahead_ms / 1000
        # A call needs a whole token, however small the demand is.
        need = max(1.0, self._own_need(bucket))
        return need - bucket.tokens - income

    def _ask(
        self, row_id: str, shortage: float, peer_count: int, now_ms: float
    ) -> list[BorrowRequest]:
        """Spreads a request over the peers that promise most."""
        since_ms = now_ms - self._settings.ask_again_ms
        free = [
            (
                -self._surplus.get(peer, {}).get(row_id, 0.0),
                self._asked_ms.get((peer, row_id), -math.inf),
                self._rng.random(),
                peer,
            )
            for peer in self._peers
            if self._asked_ms.get((peer, row_id), -math.inf) <= since_ms
        ]
        chosen = sorted(free)[:peer_count]
        for _, _, _, peer in chosen:
            self._asked_ms[(peer, row_id)] = now_ms
            if peer in self._surplus:
                self._surplus[peer] = {**self._surplus[peer], row_id: 0.0}
        return [
            BorrowRequest(peer, row_id, shortage / len(chosen))
            for _, _, _, peer in chosen
        ]
