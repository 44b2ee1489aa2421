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

/** Encodes and decodes the calls and outcomes that daemons exchange. */
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

    static CallRequest decodeCall(ByteString bytes) {
        Call message = parse(() -> Call.parseFrom(bytes));
        return new CallRequest(
                new CustomerId(message.getCustomer()),
                new CallId(new ProgramId(message.getProgram()), message.getNumber()),
                new IdempotencyKey(message.getKey()),
                message.getTool() ? CallKind.TOOL : CallKind.MODEL,
                message.getTarget(),
                message.getRepeatable(),
                message.getDeadlineMs(),
                message.getBodyDigest(),
                message.getPath(),
                message.getBody(),
                message.getPromptTokens(),
                message.getMaxOutputTokens(),
                message.getPrefixHashesList());
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

    static Outcome decodeOutcome(ByteString bytes) {
        CallReply message = parse(() -> CallReply.parseFrom(bytes));
        return new Outcome(
                message.getErrorCode().isEmpty() ? null : decodeErrorCode(message.getErrorCode()),
                RunState.valueOf(message.getRunState()),
                message.getRetryAfterMs(),
                message.getMessage(),
                message.getStatus(),
                message.getContentType(),
                message.getAnswer(),
                message.getOutputTokens());
    }

    /** Returns the error code of this name, or INTERNAL if a later release sent a code that this one does not know. */
    private static ErrorCode decodeErrorCode(String name) {
        return java.util.Arrays.stream(ErrorCode.values())
                .filter(code -> code.name().equals(name))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }

    /**
     * Returns the parsed message.
     *
     * @throws GatewayException with code INTERNAL if a peer's message cannot be parsed
     */
    static <T> T parse(Parser<T> parser) {
        try {
            return parser.parse();
        } catch (InvalidProtocolBufferException e) {
            throw new GatewayException(ErrorCode.INTERNAL, RunState.UNKNOWN, 0, "Could not parse a message of a peer.");
        }
    }

    /** Parses a protobuf message. */
    @FunctionalInterface
    interface Parser<T> {
        T parse() throws InvalidProtocolBufferException;
    }
}
