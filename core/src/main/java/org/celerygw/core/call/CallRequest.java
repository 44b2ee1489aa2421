package org.celerygw.core.call;

import com.google.protobuf.ByteString;
import java.util.List;
import org.celerygw.core.helper.Check;
import org.celerygw.core.id.CallId;
import org.celerygw.core.id.CustomerId;
import org.celerygw.core.id.IdempotencyKey;

/**
 * One call as the entry host understood it, after authentication.
 *
 * @param customer the customer whose key the caller gave
 * @param id the program and the call's number in it
 * @param key marks retries of this call
 * @param kind whether it goes to a model or to a tool
 * @param target the model's or the service's name
 * @param repeatable whether it may be sent again when its outcome is not known
 * @param deadlineMs when the caller stops waiting, in milliseconds since 1970
 * @param bodyDigest SHA-256 of the kind, target, path and body
 * @param path the path at the service for a tool call; empty for a model call
 * @param body the body to send
 * @param promptTokens the tokens of the prompt, counted or estimated; 0 for a tool call
 * @param maxOutputTokens the most tokens the answer may have; 0 for a tool call
 * @param prefixHashes a hash for each leading block of the prompt, each over all that precedes it
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
     * Checks the sizes and copies the list.
     *
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when a value is out of range
     */
    public CallRequest {
        Check.name(target, "target");
        Check.notNegative(deadlineMs, "deadlineMs");
        Check.notNegative(promptTokens, "promptTokens");
        Check.notNegative(maxOutputTokens, "maxOutputTokens");
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Returns the tokens to reserve before the call is sent.
     *
     * @return prompt and largest output together
     */
    public long reservedTokens() {
        return (long) promptTokens + maxOutputTokens;
    }
}
