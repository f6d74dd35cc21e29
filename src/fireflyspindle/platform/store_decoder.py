"""Decodes outcomes of reads of the store into events."""

import time

import result

from fireflyspindle import logs
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import store_state
from fireflyspindle.platform import configuration_document
from fireflyspindle.platform import crash_records
from fireflyspindle.platform import target_registrations

CONFIGURATION_KEY = "config"
# Followed by the name of a failure domain.
EVACUATION_KEY_PREFIX = "evacuate/"


class Decoder:
    """Decodes records and logs each undecodable value once.

    Attributes:
        undecodable: Newest undecodable value by key.
        unknown_kinds: Kinds of routes that are not known.
    """

    def __init__(self) -> None:
        self.undecodable: dict[str, bytes] = {}
        self.unknown_kinds: set[str] = set()

    def decode_outcome(
        self,
        now_us: int,
        source: store_state.Source,
        outcome: store_records.Batch | store_records.ReadFailed,
        relayed: events.RelayedRead | None,
        late_start_us: int | None = None,
    ) -> events.Event:
        """Returns the event for the outcome of a read.

        Args:
            now_us: Monotonic time.
            source: Source that was read.
            outcome: Outcome of the read.
            relayed: Set when another host made the read.
            late_start_us: Start of a read by this host that succeeded late;
                otherwise None.
        """
        event = self._event(now_us, source, outcome, relayed)
        if not isinstance(event, events.StoreReadFailed):
            event.late_start_us = late_start_us
            assert isinstance(outcome, store_records.Batch)
            event.resets_position = outcome.resets_position
        return event

    def _event(
        self,
        now_us: int,
        source: store_state.Source,
        outcome: store_records.Batch | store_records.ReadFailed,
        relayed: events.RelayedRead | None,
    ) -> events.StoreReadFailed | events.StoreRead:
        match outcome:
            case store_records.ReadFailed(reason, is_answered):
                return events.StoreReadFailed(
                    now_us, source.value, reason, relayed, is_answered
                )
            case store_records.Batch() if source is store_state.Source.TARGETS:
                return self._targets_read(now_us, outcome, relayed)
            case store_records.Batch() if source is store_state.Source.CRASHES:
                return self._crashes_read(now_us, outcome, relayed)
            case store_records.Batch():
                return self._configuration_read(now_us, outcome, relayed)

    def _configuration_read(
        self,
        now_us: int,
        batch: store_records.Batch,
        relayed: events.RelayedRead | None,
    ) -> events.ConfigurationRead:
        newest: published.Document | None = None
        newest_is_decodable: bool | None = None
        evacuated_by_domain: dict[str, bool] = {}
        for record in batch.records:
            if record.key.startswith(EVACUATION_KEY_PREFIX):
                domain = record.key.removeprefix(EVACUATION_KEY_PREFIX)
                evacuated_by_domain[domain] = record.value is not None
            if record.key != CONFIGURATION_KEY or record.value is None:
                continue
            decoded = configuration_document.decode(record.value)
            newest_is_decodable = isinstance(decoded, result.Ok)
            if isinstance(decoded, result.Err):
                self._log_undecodable(record, decoded.err_value)
                continue
            self._log_unknown_kinds(record.value)
            document = decoded.ok_value
            if newest is None or document.version > newest.version:
                newest = document
        evacuated = {
            domain for domain, value in evacuated_by_domain.items() if value
        }
        return events.ConfigurationRead(
            now_us,
            newest,
            batch.next_offset,
            relayed,
            newest_is_decodable=newest_is_decodable,
            evacuated=frozenset(evacuated),
            evacuations_ended=frozenset(evacuated_by_domain.keys() - evacuated),
            is_snapshot=batch.is_snapshot,
            is_complete=batch.is_complete,
        )

    def _log_unknown_kinds(self, value: bytes) -> None:
        """Logs each kind of route that is not known, once."""
        for kind in configuration_document.unknown_route_kinds(value):
            if kind in self.unknown_kinds:
                continue
            self.unknown_kinds.add(kind)
            logs.logger.warning(
                f"route kind {kind!r:.100} is not known; requests of its routes"
                " run once at most",
                code="route_kind_unknown",
            )

    def _targets_read(
        self,
        now_us: int,
        batch: store_records.Batch,
        relayed: events.RelayedRead | None,
    ) -> events.TargetsRead:
        entries_by_id: dict[str, list[events.TargetRegistration]] = {}
        removed: set[str] = set()
        for record in batch.records:
            if record.value is None:
                removed.add(record.key)
                entries_by_id.pop(record.key, None)
                continue
            decoded = target_registrations.decode(record.key, record.value)
            if isinstance(decoded, result.Err):
                self._log_undecodable(record, decoded.err_value)
                # The target's last decoded entry stays in force.
                entries_by_id.setdefault(record.key, [])
                continue
            removed.discard(record.key)
            entries_by_id.setdefault(record.key, []).append(decoded.ok_value)
        return events.TargetsRead(
            now_us=now_us,
            entries=[
                entry for group in entries_by_id.values() for entry in group
            ],
            removed=sorted(removed),
            is_snapshot=batch.is_snapshot,
            next_offset=batch.next_offset,
            relayed=relayed,
            is_complete=batch.is_complete,
        )

    def _crashes_read(
        self,
        now_us: int,
        batch: store_records.Batch,
        relayed: events.RelayedRead | None,
    ) -> events.CrashesRead:
        wall_ms = time.time_ns() // 1_000_000
        records: dict[events.CrashKey, events.CrashRecord] = {}
        removed: set[events.CrashKey] = set()
        for record in batch.records:
            key = crash_records.decode_key(record.key)
            if isinstance(key, result.Err):
                self._log_undecodable(record, key.err_value)
                continue
            if record.value is None:
                records.pop(key.ok_value, None)
                removed.add(key.ok_value)
                continue
            decoded = crash_records.decode_value(record.value, wall_ms)
            if isinstance(decoded, result.Err):
                self._log_undecodable(record, decoded.err_value)
                continue
            removed.discard(key.ok_value)
            records[key.ok_value] = decoded.ok_value
        return events.CrashesRead(
            now_us=now_us,
            records=records,
            removed=sorted(removed, key=crash_records.encode_key),
            is_snapshot=batch.is_snapshot,
            next_offset=batch.next_offset,
            relayed=relayed,
            is_complete=batch.is_complete,
        )

    def _log_undecodable(
        self, record: store_records.Record, error: str
    ) -> None:
        """Logs a record that can't be decoded, once for each value."""
        value = record.value or b""
        if self.undecodable.get(record.key) == value:
            return
        self.undecodable[record.key] = value
        logs.logger.warning(
            f"entry {record.key!r} can't be decoded and is ignored: {error}",
            code="entry_unreadable",
        )
