package org.celerygw.daemon.tls;

import io.vertx.core.Vertx;
import io.vertx.core.net.PemKeyCertOptions;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.util.Optional;
import java.util.stream.Stream;
import javax.net.ssl.X509KeyManager;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/** Finds out whether a private key belongs to a certificate; the server itself would notice at each handshake only. */
final class KeyPairCheck {
    private static final byte[] PROBE = {1, 2, 3, 4};

    private KeyPairCheck() {}

    /** Throws with a typed error when the pair does not load or does not belong together. */
    static void check(Vertx vertx, PemKeyCertOptions options) {
        try {
            if (!belongTogether(
                    (X509KeyManager) options.getKeyManagerFactory(vertx).getKeyManagers()[0])) {
                throw unusable("the private key does not belong to the certificate");
            }
        } catch (GatewayException e) {
            throw e;
        } catch (Exception e) { // the library declares Exception
            throw unusable("certificate and private key do not load");
        }
    }

    private static boolean belongTogether(X509KeyManager manager) throws GeneralSecurityException {
        Optional<String> alias = Stream.of("RSA", "EC", "EdDSA")
                .flatMap(type -> Optional.ofNullable(manager.getServerAliases(type, null)).stream())
                .flatMap(Stream::of)
                .findFirst();
        if (alias.isEmpty()) {
            return false;
        }
        PrivateKey privateKey = manager.getPrivateKey(alias.get());
        Signature signature = Signature.getInstance(algorithm(privateKey));
        signature.initSign(privateKey);
        signature.update(PROBE);
        byte[] signed = signature.sign();
        signature.initVerify(manager.getCertificateChain(alias.get())[0]);
        signature.update(PROBE);
        return signature.verify(signed);
    }

    private static String algorithm(PrivateKey key) {
        return switch (key.getAlgorithm()) {
            case "RSA" -> "SHA256withRSA";
            case "EC" -> "SHA256withECDSA";
            default -> key.getAlgorithm();
        };
    }

    private static GatewayException unusable(String reason) {
        return new GatewayException(ErrorCode.INVALID_ARGUMENT, "tls: " + reason);
    }
}
