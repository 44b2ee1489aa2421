package org.celerygw.daemon.route;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.celerygw.api.gen.peer.Call;
import org.celerygw.api.gen.peer.CallReply;
import org.celerygw.core.call.CallKind;
import org.celerygw.core.call.CallRequest;
import org.celerygw.core.call.Outcome;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.core.error.RunState;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;
import org.celerygw.core.id.ProgramId;

/** Turns calls and outcomes into the messages that daemons exchange, and back. */
final class PeerCodec {
    private PeerCodec() {}

    static ByteString encode(CallRequest call) {
        return Call.newBuilder()
                .setCustomer(call.customer().value())
                .setProgram(call.id().program().value())
                .setNumber(call.id().number())
                .setKey(call.key().value())
                .setTool(call.kind() == CallKind.TOOL)
                .setTarget(call.target())
                .setRepeatable(call.repeatable())
                .setDeadlineMs(call.deadlineMs())
                .setBodyDigest(call.bodyDigest())
                .setPath(call.path())
                .setBody(call.body())
                .setPromptTokens(call.promptTokens())
                .setMaxOutputTokens(call.maxOutputTokens())
                .addAllPrefixHashes(call.prefixHashes())
                .build()
                .toByteString();
    }

    static CallRequest call(ByteString bytes) {
        Call m = parse(() -> Call.parseFrom(bytes));
        return new CallRequest(
                new CustomerId(m.getCustomer()),
                new CallId(new ProgramId(m.getProgram()), m.getNumber()),
                new IdempotencyKey(m.getKey()),
                m.getTool() ? CallKind.TOOL : CallKind.MODEL,
                m.getTarget(),
                m.getRepeatable(),
                m.getDeadlineMs(),
                m.getBodyDigest(),
                m.getPath(),
                m.getBody(),
                m.getPromptTokens(),
                m.getMaxOutputTokens(),
                m.getPrefixHashesList());
    }

    static ByteString encode(Outcome outcome) {
        return CallReply.newBuilder()
                .setErrorCode(outcome.code() == null ? "" : outcome.code().name())
                .setRunState(outcome.runState().name())
                .setRetryAfterMs(outcome.retryAfterMs())
                .setMessage(outcome.message())
                .setStatus(outcome.status())
                .setContentType(outcome.contentType())
                .setAnswer(outcome.answer())
                .setOutputTokens(outcome.outputTokens())
                .build()
                .toByteString();
    }

    static Outcome outcome(ByteString bytes) {
        CallReply m = parse(() -> CallReply.parseFrom(bytes));
        return new Outcome(
                m.getErrorCode().isEmpty() ? null : code(m.getErrorCode()),
                RunState.valueOf(m.getRunState()),
                m.getRetryAfterMs(),
                m.getMessage(),
                m.getStatus(),
                m.getContentType(),
                m.getAnswer(),
                m.getOutputTokens());
    }

    /** Returns the code of this name; a newer release may know codes that this one does not. */
    private static ErrorCode code(String name) {
        return java.util.Arrays.stream(ErrorCode.values())
                .filter(c -> c.name().equals(name))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }

    /** Runs a parser; a peer's unreadable message is an internal failure. */
    static <T> T parse(Parser<T> parser) {
        try {
            return parser.parse();
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "A peer's message is unreadable.");
        }
    }

    /** Reads a message. */
    @FunctionalInterface
    interface Parser<T> {
        T parse() throws InvalidProtocolBufferException;
    }
}
