package org.celerygw.daemon.operator;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.celerygw.daemon.settings.Settings;
import org.jspecify.annotations.Nullable;

/** Authenticates operators by their bearer key; the comparison takes constant time to resist timing attacks. */
final class OperatorKeys {
    private static final String BEARER_PREFIX = "Bearer ";

    private final List<KeyEntry> entries;

    OperatorKeys(List<Settings.Operator> operators) {
        this.entries = operators.stream()
                .map(operator ->
                        new KeyEntry(operator, BaseEncoding.base16().lowerCase().decode(operator.keySha256Hex())))
                .toList();
    }

    private record KeyEntry(Settings.Operator operator, byte[] keySha256) {}

    Settings.Operator authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw new GatewayException(ErrorCode.UNAUTHENTICATED, "the authorization header must carry a bearer key");
        }
        byte[] digest = Hashing.sha256()
                .hashString(authorization.substring(BEARER_PREFIX.length()).strip(), StandardCharsets.UTF_8)
                .asBytes();
        Settings.Operator found = null;
        for (KeyEntry entry : entries) {
            if (MessageDigest.isEqual(entry.keySha256(), digest)) {
                found = entry.operator();
            }
        }
        if (found == null) {
            throw new GatewayException(ErrorCode.UNAUTHENTICATED, "the key does not belong to an operator");
        }
        return found;
    }
}
