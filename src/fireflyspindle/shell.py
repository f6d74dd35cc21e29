"""The shell around the reducer: executes effects, reports events."""

import asyncio
import collections
import random
import time

from fireflyspindle import logs
from fireflyspindle import metrics as metrics_lib
from fireflyspindle.adapters import data_path as data_path_lib
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import probe_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.evacuation import domains as evacuation_domains
from fireflyspindle.core.organisations import authorisation
from fireflyspindle.core.quotas import permits as quota_permits

# Time in which callers may receive their last responses, also where calls were
# in progress until the limit of a planned stop.
MIN_DELIVERY_S = 2.0


class Shell:
    """Base class of gate hosts: calls, probes, timers and shutdown.

    A subclass opens `data_path` and `probes` when it starts, and executes
    its own effects in `execute_specific_effect`.

    Attributes:
        state: State of the reducer; read only outside this class.
        metrics: Metrics of this gate host.
        data_path: Executes the effects of calls.
        probes: Client for load probes.
    """

    data_path: data_path_lib.DataPath
    probes: probe_client.ProbeClient

    def __init__(self, core_settings: state_lib.CoreSettings) -> None:
        self.state = state_lib.new(core_settings, random.getrandbits(64))
        self.metrics = metrics_lib.Metrics()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._events: collections.deque[events.Event] = collections.deque()
        self._reducing = False
        self._exit = asyncio.Event()
        self._stop_limit_us: int | None = None

    def begin(self) -> None:
        """Starts the reducer, once every address is open."""
        self.execute_effects(reducer.start(self.state, self.now_us()))

    def request_stop(self) -> None:
        """Starts a planned stop; `wait_exit` returns when it is done."""
        now_us = self.now_us()
        if self._stop_limit_us is None:
            limit_us = self.state.settings.drain_limit_ms * 1000
            self._stop_limit_us = now_us + limit_us
        self.submit(events.StopRequested(now_us))

    async def wait_exit(self) -> None:
        """Waits until every response is delivered, then cancels every task."""
        await self._exit.wait()
        await self.data_path.wait_idle(self._time_left_s())
        await self.data_path.close_server(self._delivery_limit_s())
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.data_path.close()

    def _delivery_limit_s(self) -> float:
        """Returns the time in which callers may receive their responses."""
        return max(MIN_DELIVERY_S, self._time_left_s())

    def _time_left_s(self) -> float:
        """Returns the time left until the limit of the planned stop."""
        left_us = (self._stop_limit_us or 0) - self.now_us()
        return max(0.0, left_us / 1e6)

    def now_us(self) -> int:
        """Returns the monotonic time."""
        return time.monotonic_ns() // 1000

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer and executes the effects.

        An event submitted while effects are being executed is queued until they
        are done, so that effects run in the order of the events.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        try:
            while self._events:
                next_event = self._events.popleft()
                self.execute_effects(reducer.reduce(self.state, next_event))
        finally:
            self._reducing = False

    def execute_effects(self, requested: list[effects.Effect]) -> None:
        """Executes effects in order; one that fails ends no other.

        Raises:
            Exception: An effect failed; the first error of several.
        """
        errors = []
        for effect in requested:
            try:
                self._execute_effect(effect)
            except Exception as error:
                errors.append(error)
        if errors:
            raise errors[0]

    def _execute_effect(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendToTarget():
                self.data_path.send(effect)
            case effects.ForwardAnswer():
                self.data_path.forward(effect)
            case effects.AnswerCaller():
                self.data_path.answer(effect)
            case effects.CancelAttempt():
                self.data_path.cancel(effect)
            case effects.CallFinished():
                self.data_path.finish(effect)
            case _:
                self._execute_shared_effect(effect)

    def _execute_shared_effect(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SetTimer(at_us):
                self._set_timer(at_us)
            case effects.ProbeTarget():
                self.metrics.event_counts["probe"] += 1
                self.spawn(self._probe(effect))
            case effects.WriteLogLine(level, code, detail):
                logs.logger.log(level.upper(), detail, code=code)
            case effects.CloseAfterAnswers():
                self.data_path.server.stopping = True
            case effects.AcceptCallers():
                self.spawn(self.data_path.server.accept())
            case effects.StopListening():
                self.data_path.server.stop_listening()
            case effects.Exit():
                self._exit.set()
            case _:
                self.execute_specific_effect(effect)

    def execute_specific_effect(self, effect: effects.Effect) -> None:
        """Executes an effect that is specific to the subclass."""
        raise NotImplementedError(f"{type(effect).__name__} is not executed")

    def may_send(self, call_id: int, attempt: int) -> bool:
        """Whether an attempt that waited for a connection may be sent."""
        call = self.state.calls.get(call_id)
        if call is not None:
            if authorisation.check_again(self.state, call):
                return False
            now_us = self.now_us()
            if not quota_permits.may_send_attempt(self.state, call, now_us):
                return False
        return evacuation_domains.may_send_attempt(self.state, call_id, attempt)

    def spawn(self, work: exchange_lib.Work) -> asyncio.Task[None]:
        """Starts a task, which is cancelled at the latest on exit."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            logs.logger.error(
                f"a task of the gate host failed: {error!r}", code="task_failed"
            )

    def _set_timer(self, at_us: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        delay_s = max(0, at_us - self.now_us()) / 1e6
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.submit(events.TimerFired(self.now_us()))

    async def _probe(self, effect: effects.ProbeTarget) -> None:
        outcome = await self.probes.probe(effect)
        ended = events.ProbeEnded(self.now_us(), effect.probe_id, None)
        match outcome:
            case events.LoadReport():
                ended.report = outcome
            case events.FailureReason.REFUSED:
                ended.refused = True
        self.submit(ended)
