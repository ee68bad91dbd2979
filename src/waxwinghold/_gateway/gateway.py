"""The gateway process: passes requests to targets and answers to callers."""

import asyncio
import signal

import logbook
from aiohttp import web

from .._clock import processor_ms
from .._decisions.copy_age import copy_limits
from .._decisions.crash_suspects import CrashSuspects, RequestContent
from .._decisions.retry_budget import budget_policy
from .._decisions.second_copies import SecondCopies
from .._decisions.stopping import UsualDuration, stop_times
from .._decisions.target_choice import Turns, target_policy
from .._decisions.waiting import UsualDeadline, queue_policy
from .._metrics import Metrics, metrics_response
from .._reload import CHECK_INTERVAL_MS
from .._settings import split_ip_port
from .._tasks import ProcessTasks
from .._verdict import Ran
from .admission_queue import AdmissionQueue
from .answer_doubts import answer_doubts
from .answer_sizes import answer_sizes
from .attempts import REJECTIONS, Attempts
from .caller_server import CallerServer
from .errors import (
    CrashingRequestError,
    FailedAnswerError,
    SendError,
    StoppingError,
    SuspectedRequestError,
    UnconfiguredError,
)
from .lost_connections import LostConnections
from .model import CallerLimits
from .notices import AskNotice, FragmentNotice, FreshNotice
from .peers import Peers
from .published_state import PublishedState
from .readers import StoreReaders
from .sending import AdmittedRequest
from .targets import TargetPool

log = logbook.Logger("gateway")

MS_PER_SECOND = 1000
# Interval at which the queues are served in any case, so that a target is used again
# within one batch step after the end of a pause.
TICK_INTERVAL_MS = 50.0
SLOW_TICKS_COUNT = 10  # Between removals of missing targets and old connections.
# Subtracted from the freshness limit, so that a request that is sent within the limit
# also arrives within it.
FRESHNESS_MARGIN_MS = 700.0
# For this long after its start, or after the store came back from a copy, a gateway
# waits for the operator to write again what the others have and the store has lost.
OUTDATED_LIMIT_MS = 30_000.0
LISTEN_MS = 2000.0  # Two intervals of the notices of many gateways.
RETRY_ELSEWHERE_MS = 50.0  # Another gateway may be able to serve at once.


class Gateway:
    """One gateway process.

    Args:
        settings: The ``GatewaySettings``.
        codec: The ``MessageCodec`` for the messages of callers and targets.
        make_source: Function of a ``PublishedState`` and a ``StoreReaders``; returns
            the object whose ``run`` keeps the ``PublishedState`` up to date.
        settings_file: The ``SettingsFile`` that the settings came from; ``None`` for
            settings that never change.
    """

    def __init__(self, *, clock, settings, codec, make_source, settings_file=None):
        self.clock = clock
        self.settings = settings
        self._settings_file = settings_file
        self.codec = codec
        self.metrics = Metrics(process=settings.name)
        self.metrics.gauge("overlong_answers", lambda: answer_sizes.overlong_count)
        self.metrics.gauge("doubtful_answers", lambda: answer_doubts.count)
        self.target_pool = TargetPool(clock=clock)
        self.target_pool.limits_passes = settings.limit_passes
        self.published = PublishedState(
            clock=clock, target_pool=self.target_pool, grace_ms=settings.list_grace_ms
        )
        self.suspects = CrashSuspects()
        self.metrics.gauge("blocked_contents", lambda: self.suspects.blocked_count)
        self.lost_connections = LostConnections(
            clock=clock,
            suspects=self.suspects,
            target_pool=self.target_pool,
            metrics=self.metrics,
            spawn=lambda coroutine: self._tasks.spawn(coroutine),
        )
        self.metrics.gauge("targets_leaving", lambda: self._targets_count("is_leaving"))
        self.metrics.gauge(
            "targets_paused", lambda: self._targets_count("pause_left_ms")
        )
        self.metrics.gauge(
            "evacuated_data_centres", lambda: len(self.target_pool.evacuations)
        )
        self.metrics.gauge(
            "targets_cold",
            lambda: self.target_pool.cold_tracking.count(self.target_pool),
        )
        self.metrics.gauge(
            "targets_limited",
            lambda: self.target_pool.permits.limits.limited_count(
                now_ms=self.clock.now_ms()
            ),
        )
        self.metrics.gauge(
            "group_running_limit", lambda: self.target_pool.lowest_running_limit()
        )
        self.metrics.gauge("pass_ms", lambda: self.target_pool.longest_pass_ms())
        self._copy_limits = _copy_limits(settings)
        self.peers = Peers(
            clock=clock,
            settings=settings,
            target_pool=self.target_pool,
            waiting_counts=self._waiting_counts,
            suspects=self.suspects,
            lost_version=lambda: self.published.lost_version,
            arrival_steps=self._arrival_steps,
        )
        for name in self.peers.notice_gauges():
            self.metrics.gauge(name, lambda name=name: self.peers.notice_gauges()[name])
        self.metrics.gauge("processor_ms", processor_ms)
        self.metrics.gauge("reserved_slots_ratio", self._reserved_ratio)
        self.readers = StoreReaders(
            clock=clock,
            published=self.published,
            own_ip=settings.peers_ip,
            local_peers=self.peers.local_peers,
            send=self.peers.send,
            limits=lambda: self._copy_limits,
        )
        self._turns = Turns(
            position=lambda: self.peers.position,
            count=lambda: self.peers.gateways_count,
        )
        self.peers.handlers[AskNotice] = self.readers.on_ask
        self.peers.handlers[FreshNotice] = self.readers.on_fresh
        self.peers.handlers[FragmentNotice] = self.readers.on_fragment
        self.metrics.gauge("copy_age_ms", lambda: self.published.age_ms)
        self.metrics.gauge("copies_outdated", lambda: self.readers.outdated_count)
        self.metrics.gauge(
            "large_changes_sent_bytes", lambda: self.readers.large_sent_bytes
        )
        self.metrics.gauge(
            "large_changes_received", lambda: self.readers.large_received_count
        )
        self.metrics.gauge(
            "large_changes_not_received", lambda: self.readers.large_missed_count
        )
        self._source = make_source(self.published, self.readers)
        self.metrics.gauge(
            "malformed_headers",
            lambda: self.codec.malformed_count + self._source.malformed_count,
        )
        self._caller_server = CallerServer(gateway=self)
        self._admission_queues = {}
        self._budgets = {}
        self._second_copies = {}
        self._usual_deadlines = {}
        self._servers = []
        self._started_ms = clock.now_ms()
        self._serving = set()
        self._usual_durations = {}
        self._stop_times = None
        self._rejecting = False
        self._stop = asyncio.Event()
        self._tasks = ProcessTasks(on_failure=self._stop.set)

    @property
    def limits(self):
        """Return the ``CallerLimits`` in force."""
        table = self.published.table
        return table.configuration.limits if table else CallerLimits()

    def is_stopping(self):
        """Return whether the process has been asked to stop."""
        return self._stop_times is not None

    def check_passing(self, admitted):
        """Check that a request that has not run may still be passed on.

        Raises:
            StoppingError: This gateway stops soon. The caller can retry at once at
                another one.
        """
        if self._stop_times is None:
            return
        if self._rejecting or not self._stop_times.may_pass(
            now_ms=self.clock.now_ms(),
            usual_ms=self._usual_duration(admitted.route).usual_ms,
            request_end_ms=admitted.end_ms,
        ):
            raise _stopping_error()

    def admission_queue(self, service):
        """Return the ``AdmissionQueue`` of ``service``."""
        queue = self._admission_queues.get(service)
        if queue is None:
            queue = AdmissionQueue(
                clock=self.clock,
                service=service,
                target_pool=self.target_pool,
                selection_policy=target_policy.make(
                    "least_held",
                    data_centre=self.settings.data_centre,
                    pace=self.target_pool.group_pace,
                    relative_pace=self.target_pool.relative_pace,
                    gateways_count=lambda: self.peers.gateways_count,
                    has_turn=lambda name: self._turns.has(
                        name, wall_ms=self.clock.wall_ms()
                    ),
                    is_drawn=lambda name, count: self._turns.is_drawn(
                        name, count, wall_ms=self.clock.wall_ms()
                    ),
                ),
                admission_policy=queue_policy.make(
                    "on_time_first",
                    gateways_count=lambda: self.peers.gateways_count,
                    peer_steps=lambda: self.peers.peer_steps(service),
                    fair_customers=lambda: self.settings.fair_customers,
                ),
            )
            self._admission_queues[service] = queue
            self.target_pool.listeners.append(queue.serve_queued)
        return queue

    def budget(self, service):
        """Return this gateway's share of the retry budget of ``service``."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = budget_policy.make(
                "shared",
                ratio=settings.retry_ratio,
                slack_count=settings.retry_slack_count,
                window_ms=settings.retry_window_s * MS_PER_SECOND,
            )
            self._budgets[service] = budget
        return budget

    def second_copies(self, service):
        """Return the ``SecondCopies`` of ``service``; ``None`` if none are allowed."""
        if not self.settings.second_copies_ratio > 0:
            return None
        copies = self._second_copies.get(service)
        if copies is None:
            window_ms = self.settings.second_copies_window_s * MS_PER_SECOND
            copies = self._second_copies[service] = SecondCopies(window_ms=window_ms)
        return copies

    async def serve(self, call, answer):
        """Serve one request.

        Args:
            call: The ``CallerRequest``.
            answer: The ``CallerAnswer`` that passes the answer on to the caller.

        Raises:
            RequestError: The request is rejected, or its answer is lost.
            FailedAnswerError: The last target answered with an error, which is passed
                on to the caller.
            SendError: The answer was begun and cannot be finished.
        """
        if self._rejecting:
            raise _stopping_error()
        admitted = self._admit(call)
        self.check_passing(admitted)
        self._check_content(admitted, ran=Ran.NOT_RUN)
        self._check_alone(admitted)
        started_ms = self.clock.now_ms()
        attempts = Attempts(gateway=self, admitted=admitted, answer=answer)
        self._serving.add(attempts)
        try:
            await attempts.run()
        except FailedAnswerError:
            # The caller gets the target's whole answer.
            self._record_time(admitted, started_ms)
            raise
        except REJECTIONS:
            self.metrics.count("rejections", label=f"priority_{admitted.priority}")
            raise
        except SendError:
            self.metrics.count("broken", label=admitted.route.kind.value)
            raise
        finally:
            self._serving.discard(attempts)
        self._record_time(admitted, started_ms)

    def _record_time(self, admitted, started_ms):
        duration_ms = self.clock.now_ms() - started_ms
        self._usual_duration(admitted.route).record(duration_ms)
        self.metrics.record_ms("request", duration_ms, label=admitted.route.kind.value)

    def check_sendable(self, admitted):
        """Check the request again just before a send.

        Raises:
            CrashingRequestError: Its content has crashed several targets by now.
            UnconfiguredError: This gateway's copy of the keys is too old.
            UnknownKeyError: The key has been revoked.
        """
        self._check_content(admitted)
        if not admitted.call.key or admitted.route.anonymous:
            return
        self._check_fresh()
        table = self.published.table
        table.customer(route=admitted.route, key=admitted.call.key)

    async def run(self):
        """Run until a signal asks to stop, then finish the requests in flight."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._begin_stop)
        loop.add_signal_handler(signal.SIGINT, self._begin_stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._tasks.spawn(self._source.run())
        self._tasks.spawn(self.peers.run())
        self._tasks.spawn(self._tick())
        self._tasks.spawn(self._watch_settings())
        await self._serve_readiness()
        await self._caller_server.start(split_ip_port(self.settings.callers_address))
        self._tasks.spawn(self._caller_server.sweep())
        log.info("gateway started", extra={"name": self.settings.name})
        await self._stop.wait()
        await self._finish()
        await self.close()
        log.info("gateway stopped", extra={"name": self.settings.name})

    async def close(self):
        """Close every connection and end every task."""
        await self._tasks.end()
        for server in self._servers:
            server.close()
        self._caller_server.close()
        self.peers.close()
        self.target_pool.replace([])

    def _admit(self, call):
        table = self.published.table
        if table is None:
            raise UnconfiguredError(
                "no configuration received yet", retry_after_ms=RETRY_ELSEWHERE_MS
            )
        path = call.path.partition("?")[0]
        route = table.route(host=call.host, path=path)
        if not route.anonymous and table.configuration.customers is not None:
            self._check_fresh()
        customer = table.customer(route=route, key=call.key)
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        limit_ms = route.timeout_ms
        if call.deadline_in_ms is not None:
            limit_ms = min(limit_ms, call.deadline_in_ms)
        elapsed_ms = self._usual_deadline(route).elapsed_ms(
            limit_ms, now_ms=call.arrived_ms
        )
        service = table.service(route=route, request_id=call.request_id)
        customer_name = customer.name if customer else ""
        return AdmittedRequest(
            call=call,
            route=route,
            service=service,
            customer_name=customer_name,
            priority=priority,
            end_ms=call.arrived_ms + limit_ms,
            elapsed_ms=elapsed_ms,
            content=_content(call, service=service, customer_name=customer_name),
        )

    def _usual_deadline(self, route):
        """Return the ``UsualDeadline`` of the routes with the same limits."""
        key = (route.kind, route.latency_goal_ms, route.timeout_ms)
        deadline = self._usual_deadlines.get(key)
        if deadline is None:
            deadline = self._usual_deadlines[key] = UsualDeadline()
        return deadline

    def _usual_duration(self, route):
        """Return the ``UsualDuration`` of the requests of a route."""
        return self._usual_durations.setdefault(route.name, UsualDuration())

    def _check_fresh(self):
        if self.settings.strict_keys and self.published.age_ms > self._age_limit_ms:
            raise UnconfiguredError(
                f"the gateway's copy of the keys is {self.published.age_ms:.0f} ms old",
                retry_after_ms=RETRY_ELSEWHERE_MS,
            )
        if self.settings.strict_keys and self._is_outdated():
            raise UnconfiguredError(
                "the other gateways may have a configuration that the store has lost",
                retry_after_ms=RETRY_ELSEWHERE_MS,
            )

    def _is_outdated(self):
        """Return whether a revocation may be unknown here that the store has lost.

        That can be after a start with an old copy of the store, or after the store came
        back from a copy while this gateway was cut off. The other gateways may know of
        the revocation.
        """
        now_ms = self.clock.now_ms()
        started_ago_ms = now_ms - self._started_ms
        restored_ago_ms = now_ms - self.published.restored_ms
        if min(started_ago_ms, restored_ago_ms) > OUTDATED_LIMIT_MS:
            return False
        if started_ago_ms <= LISTEN_MS and self.peers.is_unheard():
            return True
        was_stale = self.published.age_at_restore_ms > self._age_limit_ms
        if restored_ago_ms <= LISTEN_MS and was_stale:
            return True
        table = self.published.table
        version = table.configuration.version if table else 0
        return self.peers.newest_lost_version > version

    @property
    def _age_limit_ms(self):
        """The highest age of this gateway's copy of the keys, in milliseconds."""
        return self.settings.freshness_limit_ms - FRESHNESS_MARGIN_MS

    def _check_content(self, admitted, *, ran=Ran.MAY_HAVE_RUN):
        if self.suspects.is_blocked(admitted.content, now_ms=self.clock.now_ms()):
            raise CrashingRequestError("such requests crashed several targets", ran=ran)

    def _check_alone(self, admitted):
        """Check that no request runs that may crash targets for the same reason.

        Raises:
            SuspectedRequestError: One does. The caller can retry when it has ended.
        """
        if not self.suspects.may_run_beside(
            admitted.content,
            (attempts.content for attempts in self._serving),
            now_ms=self.clock.now_ms(),
        ):
            raise SuspectedRequestError("a request like it runs, and may crash targets")

    def _targets_count(self, signal):
        """Return how many targets have a signal, a method of ``TargetSignals``."""
        read = getattr(self.target_pool.signals, signal)
        now_ms = self.clock.now_ms()
        return sum(
            bool(read(target.incarnation, now_ms=now_ms)) for target in self.target_pool
        )

    def _ready(self):
        if self.is_stopping() or self.published.table is None:
            return False
        if not self.settings.strict_keys:
            return True
        return self.published.age_ms <= self._age_limit_ms and not self._is_outdated()

    async def _serve_readiness(self):
        async def handle(request):
            if request.path == "/metrics":
                return metrics_response(self.metrics)
            return web.Response(status=200 if self._ready() else 503)

        loop = asyncio.get_running_loop()
        server = web.Server(handle, access_log=None)
        address = split_ip_port(self.settings.readiness_address)
        self._servers.append(await loop.create_server(server, *address))
        if self.settings.metrics_port:
            address = (address[0], self.settings.metrics_port)
            self._servers.append(await loop.create_server(server, *address))

    async def _tick(self):
        ticks = 0
        while True:
            await self.clock.sleep_ms(TICK_INTERVAL_MS)
            ticks += 1
            for queue in self._admission_queues.values():
                queue.serve_queued()
            if ticks % SLOW_TICKS_COUNT == 0:
                self.published.drop_missing()
                self.target_pool.permits.forget_ended()
                self.target_pool.drop_expired_connections(
                    gateways_count=self.peers.gateways_count
                )

    def _waiting_counts(self):
        return {
            service: queue.waiting_count
            for service, queue in self._admission_queues.items()
            if queue.waiting_count
        }

    def _arrival_steps(self):
        """Return the steps of the arrival rates here, by service and priority."""
        steps_by_service = {
            service: queue.arrival_steps()
            for service, queue in self._admission_queues.items()
        }
        return {service: steps for service, steps in steps_by_service.items() if steps}

    def _reserved_ratio(self):
        """Return the highest share of a service's slots kept for urgent requests."""
        queues = self._admission_queues.values()
        return max((queue.reserved_ratio() for queue in queues), default=0.0)

    def _begin_stop(self):
        log.info("stop requested", extra={"open": self._caller_server.open_count})
        self._set_stop_times()
        self._stop.set()

    def _set_stop_times(self):
        if self._stop_times is None:
            self._stop_times = stop_times(
                asked_ms=self.clock.now_ms(),
                grace_ms=self.settings.stop_limit_s * MS_PER_SECOND,
            )

    def _reload(self):
        """Apply the changed settings, and start new retry budgets with them."""
        if self._settings_file is None:
            return
        window_s = self.settings.second_copies_window_s
        self.settings = self._settings_file.reload()
        if self.settings.second_copies_window_s != window_s:
            self._second_copies = {}
        self._copy_limits = _copy_limits(self.settings)
        self.peers.settings = self.settings
        self._budgets = {}

    async def _watch_settings(self):
        while True:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            if self._settings_file is not None and self._settings_file.changed():
                self._reload()

    async def _finish(self):
        """Accept requests until the platform sends no more, then finish them."""
        self._set_stop_times()  # Without a signal, a task failed.
        times = self._stop_times
        await self.clock.sleep_ms(max(0.0, times.pass_until_ms - self.clock.now_ms()))
        self._rejecting = True
        for attempts in self._serving:
            attempts.reject_unsent()
        await self._caller_server.finish(until_ms=times.answer_until_ms)
        for attempts in self._serving:
            attempts.end()
        await self._caller_server.finish(until_ms=times.end_ms)


def _stopping_error():
    return StoppingError("this gateway is stopping", retry_after_ms=RETRY_ELSEWHERE_MS)


def _copy_limits(settings):
    """Return the ``CopyLimits`` of a gateway with the ``GatewaySettings``."""
    return copy_limits(
        in_force_limits_ms=(
            settings.configuration_limit_ms,
            settings.leaving_limit_ms,
            settings.evacuation_limit_ms,
        ),
        keys_limit_ms=settings.freshness_limit_ms,
    )


def _content(call, *, service, customer_name):
    """Return the ``RequestContent`` of a caller's request."""
    return RequestContent(
        call=(
            call.method.encode(),
            call.path.encode(),
            customer_name.encode(),
            call.body,
        ),
        part_names=call.shared_parts,
        scope=service,
    )
