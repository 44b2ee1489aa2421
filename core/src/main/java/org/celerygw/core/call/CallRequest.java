package org.celerygw.core.call;

import com.google.protobuf.ByteString;
import java.util.List;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;

/**
 * A call as parsed and authenticated by the host that accepted it.
 *
 * @param customer the customer that the caller's key belongs to
 * @param id the program and the number of the call within it
 * @param key the idempotency key, which retries of the call share
 * @param kind whether the target is a model or a tool
 * @param target the name of the model or of the service
 * @param repeatable whether it may be retried if its outcome is unknown
 * @param deadlineMs when the caller stops waiting, in ms since 1970-01-01 UTC
 * @param bodyDigest SHA-256 of the kind, target, path and body
 * @param path the request path at the service for a tool call; empty for a model call
 * @param body the request body to send to the target
 * @param promptTokens the number of tokens of the prompt, counted or estimated; 0 for a tool call
 * @param maxOutputTokens the maximum number of tokens of the output; 0 for a tool call
 * @param prefixHashes a hash for each leading block of the prompt, each covering all blocks up to it
 */
public record CallRequest(
        CustomerId customer,
        CallId id,
        IdempotencyKey key,
        CallKind kind,
        String target,
        boolean repeatable,
        long deadlineMs,
        ByteString bodyDigest,
        String path,
        ByteString body,
        int promptTokens,
        int maxOutputTokens,
        List<Long> prefixHashes) {
    /**
     * Checks the values and copies the list.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if a value is out of range
     */
    public CallRequest {
        Check.name(target, "target");
        Check.notNegative(deadlineMs, "deadlineMs");
        Check.notNegative(promptTokens, "promptTokens");
        Check.notNegative(maxOutputTokens, "maxOutputTokens");
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Returns the number of tokens to reserve before the call is sent.
     *
     * @return the tokens of the prompt plus the maximum of the output
     */
    public long reservedTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
