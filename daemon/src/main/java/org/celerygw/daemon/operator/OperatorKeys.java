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

/** Finds the operator to whom a key belongs, in a time that does not depend on the key. */
final class OperatorKeys {
    private static final String SCHEME = "Bearer ";

    private final List<Entry> entries;

    OperatorKeys(List<Settings.Operator> operators) {
        this.entries = operators.stream()
                .map(operator ->
                        new Entry(operator, BaseEncoding.base16().lowerCase().decode(operator.keySha256Hex())))
                .toList();
    }

    private record Entry(Settings.Operator operator, byte[] keySha256) {}

    Settings.Operator authenticate(@Nullable String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            throw new GatewayException(ErrorCode.UNAUTHENTICATED, "a bearer key is needed");
        }
        byte[] digest = Hashing.sha256()
                .hashString(authorization.substring(SCHEME.length()).strip(), StandardCharsets.UTF_8)
                .asBytes();
        Settings.Operator found = null;
        for (Entry entry : entries) {
            if (MessageDigest.isEqual(entry.keySha256(), digest)) {
                found = entry.operator();
            }
        }
        if (found == null) {
            throw new GatewayException(ErrorCode.UNAUTHENTICATED, "the key is not known");
        }
        return found;
    }
}
