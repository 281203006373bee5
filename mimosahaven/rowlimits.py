"""Rate limits of rows, divided among the daemons without shared state."""

import dataclasses
import math
import random
from collections.abc import Iterable
from collections.abc import Mapping

from mimosahaven import fleet as fleet_lib
from mimosahaven import settings as settings_lib
from mimosahaven import table as table_lib
from mimosahaven import tokenbucket

# Smaller amounts of tokens are neither requested nor granted.
BORROW_AMOUNT_MIN = 0.01


@dataclasses.dataclass(frozen=True)
class BorrowRequest:
    """Tokens to request from a peer.

    Attributes:
      peer: Name of the peer's target.
      row_id: Row that the tokens are for.
      amount: Number of tokens.
    """

    peer: str
    row_id: str
    amount: float


class RowLimiter:
    """Enforces this daemon's share of the limit of each row.

    A daemon that is new in the member list starts with empty buckets and no
    share, because the other daemons may still use shares of an older list.
    Until its share is active, it can only borrow, which does not raise the
    total: a lender no longer uses tokens that it has granted.
    """

    def __init__(self, settings: settings_lib.Settings, rng: random.Random):
        self._settings = settings.row_limits
        self._share_settle_ms = settings.gossip.share_settle_ms
        self._enabled = settings.mechanisms.row_limits
        self._target = settings.target.name
        self._rng = rng
        self._buckets: dict[str, tokenbucket.TokenBucket] = {}
        self._share = 0.0
        self._listed_since_ms: float | None = None
        self._share_active = False
        self._peers: list[str] = []
        self._peer_surplus: dict[str, Mapping[str, float]] = {}
        self._last_request_ms: dict[tuple[str, str], float] = {}
        self._round_start_ms: float | None = None

    def apply_rows(self, rows: Iterable[table_lib.Row], now_ms: float) -> None:
        """Applies the rows of a new table.

        A row keeps its tokens when its limit changes. The bucket of a new row
        starts full.
        """
        self._activate_share(now_ms)
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
        """Applies a member list and computes this daemon's share from it.

        The limit is divided equally among the failure domains, and then among
        the daemons of each. Leaving daemons are counted, because they may still
        use their shares.
        """
        members = list(members)
        local_member = next(
            (m for m in members if m.target == self._target), None
        )
        if local_member is None:
            self._listed_since_ms, self._share, self._peers = None, 0.0, []
            self._share_active = False
        else:
            domains = {m.failure_domain for m in members}
            domain_targets = [
                m.target
                for m in members
                if m.failure_domain == local_member.failure_domain
            ]
            self._share = 1.0 / len(domains) / len(domain_targets)
            self._peers = sorted(set(domain_targets) - {self._target})
            if self._listed_since_ms is None:
                self._listed_since_ms = now_ms
        for peer in self._peer_surplus.keys() - set(self._peers):
            del self._peer_surplus[peer]
        self._last_request_ms = {
            key: requested_ms
            for key, requested_ms in self._last_request_ms.items()
            if key[0] in self._peers
        }
        self._activate_share(now_ms)
        for bucket in self._buckets.values():
            self._set_share(bucket, now_ms)

    def try_acquire(self, row: table_lib.Row, now_ms: float) -> bool:
        """Acquires a token for one call.

        Returns:
          False if the row has a limit and no token is left. The call is then
          to be refused with ROW_LIMIT.
        """
        if not self._enabled or row.rate_limit_per_s is None:
            return True
        self._activate_share(now_ms)
        bucket = self._buckets.get(row.row_id)
        if bucket is None:
            return False
        return bucket.try_acquire(now_ms)

    def surplus(self, now_ms: float) -> dict[str, float]:
        """Returns the lendable tokens of each row, for gossip digests."""
        if not self._enabled:
            return {}
        self._activate_share(now_ms)
        lendable = {
            row_id: self._lendable(bucket, now_ms)
            for row_id, bucket in self._buckets.items()
        }
        return {
            row: amount
            for row, amount in lendable.items()
            if amount >= BORROW_AMOUNT_MIN
        }

    def update_peer_surplus(
        self, peer: str, surplus: Mapping[str, float]
    ) -> None:
        """Stores the lendable tokens of a peer in the same failure domain."""
        if peer in self._peers:
            self._peer_surplus[peer] = dict(surplus)

    def borrow_requests(self, now_ms: float) -> list[BorrowRequest]:
        """Returns the requests to send now.

        A new round of requests starts every ask_interval_ms; calls in between
        return nothing.
        """
        if not self._enabled:
            return []
        self._activate_share(now_ms)
        if self._round_start_ms is None:
            self._round_start_ms = now_ms
        elapsed_ms = now_ms - self._round_start_ms
        if elapsed_ms < self._settings.ask_interval_ms:
            return []
        self._round_start_ms = now_ms
        shortages = []
        for row_id, bucket in self._buckets.items():
            bucket.end_round(elapsed_ms)
            shortage = self._shortage(bucket, now_ms)
            if shortage >= BORROW_AMOUNT_MIN:
                shortages.append((row_id, shortage))
        # The number of requests per round is bounded over all rows, so that an
        # overload of many rows does not multiply the control messages.
        fanout = self._settings.ask_fanout
        self._rng.shuffle(shortages)
        requests = []
        for row_id, shortage in shortages[:fanout]:
            peer_count = max(1, fanout // len(shortages))
            requests += self._request_from_peers(
                row_id, shortage, peer_count, now_ms
            )
        return requests

    def grant(self, row_id: str, amount: float, now_ms: float) -> float:
        """Removes tokens from the local bucket to lend them to a peer.

        Args:
          row_id: Row for which the peer requests tokens.
          amount: Number of tokens requested.
          now_ms: Current time.

        Returns:
          Number of tokens to send; 0 if there is nothing to lend. They stay
          removed even if the message is lost.
        """
        self._activate_share(now_ms)
        bucket = self._buckets.get(row_id)
        if not self._enabled or bucket is None or not amount > 0:
            return 0.0
        granted = min(amount, self._lendable(bucket, now_ms))
        if granted < BORROW_AMOUNT_MIN:
            return 0.0
        bucket.tokens -= granted
        return granted

    def receive_borrowed(
        self, row_id: str, amount: float, now_ms: float
    ) -> None:
        """Adds tokens that a peer has granted."""
        bucket = self._buckets.get(row_id)
        if not self._enabled or bucket is None or not 0 < amount < math.inf:
            return
        bucket.fill(now_ms)
        bucket.add_borrowed(amount, now_ms + self._settings.keep_borrowed_ms)

    def _activate_share(self, now_ms: float) -> None:
        """Activates the share after share_settle_ms in the member list."""
        if self._share_active or self._listed_since_ms is None:
            return
        if now_ms - self._listed_since_ms >= self._share_settle_ms:
            self._share_active = True
            for bucket in self._buckets.values():
                self._set_share(bucket, now_ms)

    def _set_share(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> None:
        share = self._share if self._share_active else 0.0
        bucket.set_share(share, self._settings.burst_ms, now_ms)

    def _reserved_tokens(self, bucket: tokenbucket.TokenBucket) -> float:
        """Returns the tokens to keep for the calls expected in ahead_ms."""
        return bucket.demand_per_s * self._settings.ahead_ms / 1000

    def _lendable(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> float:
        bucket.fill(now_ms)
        return max(0.0, bucket.tokens - self._reserved_tokens(bucket))

    def _shortage(
        self, bucket: tokenbucket.TokenBucket, now_ms: float
    ) -> float:
        """Returns the tokens missing in the next ahead_ms, negative if none."""
        if bucket.demand_per_s < BORROW_AMOUNT_MIN:
            return 0.0
        bucket.fill(now_ms)
        refill = bucket.rate_per_s * self._settings.ahead_ms / 1000
        # A call needs a whole token, even if the mean demand is lower.
        need = max(1.0, self._reserved_tokens(bucket))
        return need - bucket.tokens - refill

    def _request_from_peers(
        self, row_id: str, shortage: float, peer_count: int, now_ms: float
    ) -> list[BorrowRequest]:
        """Divides a shortage among the peers with the largest surplus.

        A peer that was asked for the row less than ask_again_ms ago is skipped.
        """
        cutoff_ms = now_ms - self._settings.ask_again_ms
        candidates = [
            (
                -self._peer_surplus.get(peer, {}).get(row_id, 0.0),
                self._last_request_ms.get((peer, row_id), -math.inf),
                self._rng.random(),
                peer,
            )
            for peer in self._peers
            if self._last_request_ms.get((peer, row_id), -math.inf) <= cutoff_ms
        ]
        chosen = sorted(candidates)[:peer_count]
        for _, _, _, peer in chosen:
            self._last_request_ms[(peer, row_id)] = now_ms
            # The peer is taken to have no surplus until it reports one again.
            if peer in self._peer_surplus:
                self._peer_surplus[peer] = {
                    **self._peer_surplus[peer],
                    row_id: 0.0,
                }
        return [
            BorrowRequest(peer, row_id, shortage / len(chosen))
            for _, _, _, peer in chosen
        ]
