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
import org.celerygw.daemon.entry.Programs;
import org.celerygw.daemon.work.OwnerHost;
import org.celerygw.daemon.work.Responder;

/**
 * Reaches a program's owner. While the owner changes or can't be reached it asks again until the deadline: the
 * idempotency key makes that safe, since an owner never runs a call that it has seen before.
 */
public final class OwnerRouter implements Programs {
    private static final long RETRY_MS = 60;

    private final OwnerHost local;
    private final Peers peers;
    private final Clock clock;
    private final Later later;

    /** Runs something after a while on the host's event loop. */
    @FunctionalInterface
    public interface Later {
        /**
         * Runs something after a while.
         *
         * @param delayMs how long to wait
         * @param task what to run
         */
        void run(long delayMs, Runnable task);
    }

    /**
     * Makes a router.
     *
     * @param local the owner on this host
     * @param peers reaches the other hosts
     * @param clock the time
     * @param later runs something after a while
     */
    public OwnerRouter(OwnerHost local, Peers peers, Clock clock, Later later) {
        this.local = local;
        this.peers = peers;
        this.clock = clock;
        this.later = later;
    }

    @Override
    public Runnable submit(CallRequest call, Responder responder) {
        Attempts attempts = new Attempts(call.id().program().slot(), call.deadlineMs(), responder) {
            @Override
            Runnable here(Responder r) {
                ReplyTag tag = local.submit(call, r);
                return () -> local.gone(tag);
            }

            @Override
            Runnable there(HostId host, Responder r) {
                return peers.send(host, Peers.CALL, PeerCodec.encode(call), call.deadlineMs(), r);
            }
        };
        attempts.next();
        return attempts::cancel;
    }

    @Override
    public void ask(ProgramId program, OwnerRequest request, long deadlineMs, Consumer<Outcome> done) {
        new Attempts(program.slot(), deadlineMs, Responder.outcome(done)) {
            @Override
            Runnable here(Responder r) {
                askHere(request, r);
                return () -> {};
            }

            @Override
            Runnable there(HostId host, Responder r) {
                return peers.send(host, Peers.OWNER, request.toByteString(), deadlineMs, r);
            }
        }.next();
    }

    /**
     * Serves a request that a peer sent to this host.
     *
     * @param method the method's name
     * @param request the encoded request
     * @param responder gets the stream and the outcome
     * @return to be run when the answer is no longer wanted
     */
    public Runnable serve(String method, ByteString request, Responder responder) {
        try {
            if (method.equals(Peers.CALL)) {
                ReplyTag tag = local.submit(PeerCodec.call(request), responder);
                return () -> local.gone(tag);
            }
            if (method.equals(Peers.OWNER)) {
                askHere(PeerCodec.parse(() -> OwnerRequest.parseFrom(request)), responder);
                return () -> {};
            }
            throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "This release does not know the method.");
        } catch (GatewayException e) {
            responder.end(Outcome.of(e));
            return () -> {};
        }
    }

    private void askHere(OwnerRequest request, Responder responder) {
        try {
            local.ask(tag -> event(request, tag), responder::end);
        } catch (GatewayException e) {
            responder.end(Outcome.of(e));
        }
    }

    private static Event event(OwnerRequest r, ReplyTag tag) {
        CustomerId customer = r.getCustomer().isEmpty() ? null : new CustomerId(r.getCustomer());
        return switch (r.getBodyCase()) {
            case CREATE -> new Event.Created(spec(r.getCreate()), r.getActor(), tag);
            case END ->
                new Event.Ended(
                        new ProgramId(r.getEnd().getProgram()),
                        customer,
                        r.getActor(),
                        r.getEnd().getAbandon(),
                        tag);
            case EXPLAIN -> new Event.Explained(new ProgramId(r.getExplain().getProgram()), customer, tag);
            case LIST ->
                new Event.Listed(
                        tag,
                        r.getList().getCustomersList().stream()
                                .map(CustomerId::new)
                                .toList());
            case SETTLE ->
                new Event.Settled(
                        new CallId(
                                new ProgramId(r.getSettle().getProgram()),
                                r.getSettle().getCall()),
                        r.getSettle().getRan() ? RunState.RUN : RunState.NOT_RUN,
                        r.getSettle().getAnswer(),
                        r.getActor(),
                        tag);
            case BODY_NOT_SET ->
                throw new GatewayException(ErrorCode.INVALID_ARGUMENT, "This release does not know the request.");
        };
    }

    private static ProgramSpec spec(Create c) {
        return new ProgramSpec(
                new ProgramId(c.getProgram()),
                new CustomerId(c.getCustomer()),
                c.getParent().isEmpty() ? null : new ProgramId(c.getParent()),
                new PriorityClassName(c.getPriorityClass()),
                c.getBudgetTokens(),
                c.getDeadlineMs(),
                c.getTimeToLiveMs(),
                c.getMaxTurns());
    }

    /** One request on its way to whichever host owns the slot. */
    private abstract class Attempts {
        private final Slot slot;
        private final long deadlineMs;
        private final Responder responder;
        private Runnable cancel = () -> {};
        private boolean cancelled;

        Attempts(Slot slot, long deadlineMs, Responder responder) {
            this.slot = slot;
            this.deadlineMs = deadlineMs;
            this.responder = responder;
        }

        abstract Runnable here(Responder r);

        abstract Runnable there(HostId host, Responder r);

        final void next() {
            if (cancelled) {
                return;
            }
            if (clock.nowMs() >= deadlineMs) {
                expire();
                return;
            }
            Optional<HostId> host = local.ownerOf(slot);
            if (local.owns(slot)) {
                cancel = here(new Once());
            } else if (host.isPresent()) {
                cancel = there(host.get(), new Once());
            } else {
                later.run(RETRY_MS, this::next);
            }
        }

        final void cancel() {
            cancelled = true;
            cancel.run();
        }

        /** Only the owner knows whether an earlier request with the same key ran, so this one can't be told. */
        private void expire() {
            responder.end(Outcome.failed(
                    ErrorCode.DEADLINE_EXCEEDED,
                    RunState.UNKNOWN,
                    0,
                    "The deadline passed before the program's owner answered; ask again with the same key."));
        }

        /** Passes on one attempt's answer; answers of an attempt that is over are dropped. */
        private final class Once implements Responder {
            private boolean over;

            @Override
            public void chunk(long offsetBytes, ByteString bytes) {
                if (!over) {
                    responder.chunk(offsetBytes, bytes);
                }
            }

            @Override
            public void end(Outcome outcome) {
                if (over || cancelled) {
                    return;
                }
                over = true;
                if (outcome.code() != ErrorCode.NOT_OWNER) {
                    responder.end(outcome);
                    return;
                }
                later.run(RETRY_MS, Attempts.this::next);
            }
        }
    }
}
