package org.celerygw.daemon.route;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.function.Consumer;
import org.celerygw.api.gen.owner.Create;
import org.celerygw.api.gen.owner.OwnerRequest;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.HostId;
import org.celerygw.core.id.PriorityClassName;
import org.celerygw.core.id.ProgramId;
import org.celerygw.core.id.Slot;
import org.celerygw.core.owner.Event;
import org.celerygw.core.owner.ProgramSpec;
import org.celerygw.core.owner.ReplyTag;
import org.celerygw.core.time.Clock;
import org.celerygw.daemon.entry.OwnerClient;
import org.celerygw.daemon.work.OwnerRunner;
import org.celerygw.daemon.work.Responder;

/**
 * Routes requests to the owner of a program. While the owner changes or is unreachable, a request is retried until its
 * deadline. The idempotency key makes retries safe, since an owner never runs a call that it has seen before.
 */
public final class OwnerRouter implements OwnerClient {
    private static final long RETRY_DELAY_MS = 60;

    private final OwnerRunner localOwner;
    private final PeerClient peerClient;
    private final Clock clock;
    private final Scheduler scheduler;

    /** Schedules tasks on the host's event loop. */
    @FunctionalInterface
    public interface Scheduler {
        /**
         * Runs a task once, after a delay.
         *
         * @param delayMs delay in milliseconds
         * @param task runs on the host's event loop
         */
        void schedule(long delayMs, Runnable task);
    }

    /**
     * Creates a router for the requests of one host.
     *
     * @param localOwner owner on this host
     * @param peerClient sends requests to the other hosts
     * @param clock clock of the deadlines
     * @param scheduler schedules retries
     */
    public OwnerRouter(OwnerRunner localOwner, PeerClient peerClient, Clock clock, Scheduler scheduler) {
        this.localOwner = localOwner;
        this.peerClient = peerClient;
        this.clock = clock;
        this.scheduler = scheduler;
    }

    @Override
    public Runnable submit(CallRequest call, Responder responder) {
        RoutedRequest routedRequest = new RoutedRequest(call.id().program().slot(), call.deadlineMs(), responder) {
            @Override
            Runnable sendToLocalOwner(Responder attemptResponder) {
                ReplyTag tag = localOwner.submit(call, attemptResponder);
                return () -> localOwner.callerDisconnected(tag);
            }

            @Override
            Runnable sendToPeer(HostId host, Responder attemptResponder) {
                return peerClient.send(
                        host, PeerClient.CALL_METHOD, PeerCodec.encode(call), call.deadlineMs(), attemptResponder);
            }
        };
        routedRequest.startAttempt();
        return routedRequest::cancel;
    }

    @Override
    public void request(ProgramId program, OwnerRequest request, long deadlineMs, Consumer<Outcome> callback) {
        new RoutedRequest(program.slot(), deadlineMs, Responder.forOutcome(callback)) {
            @Override
            Runnable sendToLocalOwner(Responder attemptResponder) {
                submitToLocalOwner(request, attemptResponder);
                return () -> {};
            }

            @Override
            Runnable sendToPeer(HostId host, Responder attemptResponder) {
                return peerClient.send(
                        host, PeerClient.OWNER_METHOD, request.toByteString(), deadlineMs, attemptResponder);
            }
        }.startAttempt();
    }

    /**
     * Handles a request that a peer sent to this host.
     *
     * @param method name of the method, {@link PeerClient#CALL_METHOD} or {@link PeerClient#OWNER_METHOD}
     * @param request encoded request of that method
     * @param responder receives the streamed response and the outcome
     * @return action to run when the peer no longer needs the response
     */
    public Runnable serve(String method, ByteString request, Responder responder) {
        try {
            if (method.equals(PeerClient.CALL_METHOD)) {
                ReplyTag tag = localOwner.submit(PeerCodec.decodeCall(request), responder);
                return () -> localOwner.callerDisconnected(tag);
            }
            if (method.equals(PeerClient.OWNER_METHOD)) {
                submitToLocalOwner(PeerCodec.parse(() -> OwnerRequest.parseFrom(request)), responder);
                return () -> {};
            }
            throw new GatewayException(
                    ErrorCode.INVALID_ARGUMENT,
                    "Unknown method in a request of a peer; this release does not support it.");
        } catch (GatewayException e) {
            responder.end(Outcome.of(e));
            return () -> {};
        }
    }

    private void submitToLocalOwner(OwnerRequest request, Responder responder) {
        try {
            localOwner.request(tag -> toEvent(request, tag), responder::end);
        } catch (GatewayException e) {
            responder.end(Outcome.of(e));
        }
    }

    private static Event toEvent(OwnerRequest request, ReplyTag tag) {
        CustomerId customer = request.getCustomer().isEmpty() ? null : new CustomerId(request.getCustomer());
        return switch (request.getBodyCase()) {
            case CREATE -> new Event.CreateRequested(toProgramSpec(request.getCreate()), request.getActor(), tag);
            case END ->
                new Event.EndRequested(
                        new ProgramId(request.getEnd().getProgram()),
                        customer,
                        request.getActor(),
                        request.getEnd().getAbandon(),
                        tag);
            case EXPLAIN ->
                new Event.ExplainRequested(new ProgramId(request.getExplain().getProgram()), customer, tag);
            case LIST ->
                new Event.ListRequested(
                        tag,
                        request.getList().getCustomersList().stream()
                                .map(CustomerId::new)
                                .toList());
            case SETTLE ->
                new Event.SettleRequested(
                        new CallId(
                                new ProgramId(request.getSettle().getProgram()),
                                request.getSettle().getCall()),
                        request.getSettle().getRan() ? RunState.RUN : RunState.NOT_RUN,
                        request.getSettle().getAnswer(),
                        request.getActor(),
                        tag);
            case BODY_NOT_SET ->
                throw new GatewayException(
                        ErrorCode.INVALID_ARGUMENT, "Unknown owner request; this release does not support it.");
        };
    }

    private static ProgramSpec toProgramSpec(Create create) {
        return new ProgramSpec(
                new ProgramId(create.getProgram()),
                new CustomerId(create.getCustomer()),
                create.getParent().isEmpty() ? null : new ProgramId(create.getParent()),
                new PriorityClassName(create.getPriorityClass()),
                create.getBudgetTokens(),
                create.getDeadlineMs(),
                create.getTimeToLiveMs(),
                create.getMaxTurns());
    }

    /** A request for the owner of a slot, with one attempt at a time and retries until the deadline. */
    private abstract class RoutedRequest {
        private final Slot slot;
        private final long deadlineMs;
        private final Responder responder;
        private Runnable cancelAttempt = () -> {};
        private boolean cancelled;

        RoutedRequest(Slot slot, long deadlineMs, Responder responder) {
            this.slot = slot;
            this.deadlineMs = deadlineMs;
            this.responder = responder;
        }

        /** Starts an attempt at the owner on this host; returns the action that cancels it. */
        abstract Runnable sendToLocalOwner(Responder attemptResponder);

        /** Starts an attempt at the owner on another host; returns the action that cancels it. */
        abstract Runnable sendToPeer(HostId host, Responder attemptResponder);

        final void startAttempt() {
            if (cancelled) {
                return;
            }
            if (clock.nowMs() >= deadlineMs) {
                failOnDeadline();
                return;
            }
            Optional<HostId> host = localOwner.ownerOf(slot);
            if (localOwner.owns(slot)) {
                cancelAttempt = sendToLocalOwner(new AttemptResponder());
            } else if (host.isPresent()) {
                cancelAttempt = sendToPeer(host.get(), new AttemptResponder());
            } else {
                scheduler.schedule(RETRY_DELAY_MS, this::startAttempt);
            }
        }

        final void cancel() {
            cancelled = true;
            cancelAttempt.run();
        }

        /**
         * Fails the request with run state UNKNOWN: only the owner knows whether an earlier request with the same key
         * ran.
         */
        private void failOnDeadline() {
            responder.end(Outcome.failed(
                    ErrorCode.DEADLINE_EXCEEDED,
                    RunState.UNKNOWN,
                    0,
                    "The deadline passed before the program's owner responded; retry with the same idempotency key."));
        }

        /** Forwards the response of one attempt, or schedules a retry on NOT_OWNER. Drops events after the outcome. */
        private final class AttemptResponder implements Responder {
            private boolean ended;

            @Override
            public void chunk(long offsetBytes, ByteString bytes) {
                if (!ended) {
                    responder.chunk(offsetBytes, bytes);
                }
            }

            @Override
            public void end(Outcome outcome) {
                if (ended || cancelled) {
                    return;
                }
                ended = true;
                if (outcome.code() != ErrorCode.NOT_OWNER) {
                    responder.end(outcome);
                    return;
                }
                scheduler.schedule(RETRY_DELAY_MS, RoutedRequest.this::startAttempt);
            }
        }
    }
}
