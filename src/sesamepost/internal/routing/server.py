"""The HTTP server for callers."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

import structlog
from aiohttp import web
from aiohttp.web_request import BaseRequest
from multidict import CIMultiDict

from sesamepost.errors import (
    ANSWERS,
    ERROR_HEADER,
    OUTCOME_HEADER,
    ErrorKind,
    Outcome,
    RouterError,
)
from sesamepost.internal.clients.connection import RequestStalledError
from sesamepost.internal.clients.limits import (
    DEFAULT_CLIENT_LIMITS,
    ClientLimits,
    RequestLimits,
)
from sesamepost.internal.clients.refusals import Refusals
from sesamepost.internal.clients.responses import PartwiseResponse
from sesamepost.internal.clients.server import BoundedServer
from sesamepost.internal.http_requests import bounded_request_factory
from sesamepost.internal.routing.call import BORN_HEADER, Call, parse_call
from sesamepost.internal.routing.router import Router
from sesamepost.internal.wire.messages import Answer
from sesamepost.internal.wire.pool import Address

MAX_BODY_BYTES = 8 << 20
# Callers may keep connections open and idle for this long.
REQUEST_LIMITS = RequestLimits(idle_timeout_s=3600.0)
REPLAYED_HEADER = "Sesamepost-Replayed"
RETRY_AFTER_S = "1"
BORN_PATH = "/sesamepost/born"
UNKNOWN_CLASS_LABEL = "unknown"

log = structlog.get_logger()


class CallerServer:
    """Accepts requests over HTTP, routes them and sends the answers.

    ``observe(service, class_name, outcome, seconds)`` is called for each answer.
    The server is aiohttp's low-level one, since routing and middleware of its
    application layer take about a third of the time of a small request.
    """

    def __init__(
        self,
        router: Router,
        observe: Callable[[str, str, str, float], None],
        client_limits: ClientLimits = DEFAULT_CLIENT_LIMITS,
    ) -> None:
        self.router = router
        self.observe = observe
        self.client_limits = client_limits
        self.refusals = Refusals()
        self.counters: Counter[str] = Counter()
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.is_stopping = False
        self.runner: web.ServerRunner | None = None
        self.site: web.TCPSite | None = None

    async def listen(self, address: Address) -> Address:
        """Listen for callers on ``address`` and return the bound address."""
        server = BoundedServer(
            self.handle,
            client_limits=self.client_limits,
            limits=lambda: REQUEST_LIMITS,
            refusals=self.refusals,
            request_factory=bounded_request_factory(MAX_BODY_BYTES),
            access_log=None,
            # Bodies are forwarded unchanged, together with their Content-Encoding.
            auto_decompress=False,
            handler_cancellation=True,
        )
        self.runner = web.ServerRunner(server, handle_signals=False)
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, *address)
        await self.site.start()
        return Address(*self.runner.addresses[0][:2])

    async def stop_accepting(self) -> None:
        """Stop accepting connections and close each open one after its next answer.

        Otherwise a caller that ignores the readiness check would keep a stopping daemon
        busy.
        """
        self.is_stopping = True
        await self.site.stop()

    async def __aenter__(self) -> "CallerServer":
        return self

    async def __aexit__(self, *error) -> None:
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> web.Response:
        """Answer one request."""
        if request.path == BORN_PATH:
            return self._born_token_response(request)
        started = time.perf_counter()
        self.in_flight += 1
        self.idle.clear()
        service = class_name = ""
        try:
            call = await parse_call(request)
            service, class_name = call.service, call.class_name
            answer = await self._route(call)
            response = self._answer_response(answer, call)
        except RouterError as error:
            response = self._error_response(error)
        except web.HTTPRequestEntityTooLarge:
            response = self._error_response(RouterError(ErrorKind.BODY_TOO_LARGE))
        except RequestStalledError:
            response = self._error_response(RouterError(ErrorKind.REQUEST_TIMEOUT))
            response.force_close()
        except asyncio.CancelledError:
            self.counters["callers_gone"] += 1
            raise
        except Exception:
            if request.transport is None:
                # The connection was lost while the body was read.
                self.counters["callers_gone"] += 1
                raise
            log.exception("request_failed", service=service)
            response = self._error_response(RouterError(ErrorKind.INTERNAL))
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self.idle.set()
        if self.is_stopping:
            response.force_close()
        outcome = response.headers[OUTCOME_HEADER]
        # Arbitrary names sent by callers must not create new metric series.
        settings = self.router.views.services.get(service)
        if settings is None:
            service = class_name = ""
        elif class_name and all(c.name != class_name for c in settings.classes):
            class_name = UNKNOWN_CLASS_LABEL
        self.observe(service, class_name, outcome, time.perf_counter() - started)
        return response

    async def _route(self, call: Call) -> Answer:
        if not call.idempotency_key:
            return await self.router.route(call)
        # After a lost connection the caller submits the request again and gets the
        # answer of this run. If the run were cancelled, its outcome would be unknown.
        return await asyncio.shield(self.router.route(call))

    def _answer_response(self, answer: Answer, call: Call) -> web.Response:
        headers = CIMultiDict(answer.headers)
        headers[OUTCOME_HEADER] = Outcome.RAN
        if answer.replayed:
            headers[REPLAYED_HEADER] = "yes"
        token = self.router.dispatcher.born_token(call.service)
        if token:
            headers[BORN_HEADER] = token
        return PartwiseResponse(status=answer.status, body=answer.body, headers=headers)

    def _error_response(self, error: RouterError) -> web.Response:
        self.counters[error.kind] += 1
        answer = ANSWERS[error.kind]
        headers = {ERROR_HEADER: error.kind, OUTCOME_HEADER: answer.outcome}
        if answer.status == 503:
            headers["Retry-After"] = RETRY_AFTER_S
        text = f"{error.kind}: {answer.text}"
        if error.detail:
            text = f"{text} ({error.detail})"
        return web.Response(status=answer.status, text=text + "\n", headers=headers)

    def _born_token_response(self, request: BaseRequest) -> web.Response:
        service = request.query.get("service", "")
        if service not in self.router.views.services:
            return self._error_response(RouterError(ErrorKind.UNKNOWN_SERVICE, service))
        token = self.router.dispatcher.born_token(service)
        if not token:
            return self._error_response(RouterError(ErrorKind.NO_OWNER, service))
        return web.Response(
            text=token + "\n",
            headers={BORN_HEADER: token, OUTCOME_HEADER: Outcome.RAN},
        )
