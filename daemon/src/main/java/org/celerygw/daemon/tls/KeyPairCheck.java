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

/** Checks that a private key belongs to a certificate; the server itself would only fail at each handshake. */
final class KeyPairCheck {
    private static final byte[] TEST_DATA = {1, 2, 3, 4};

    private KeyPairCheck() {}

    /** Throws a GatewayException with code INVALID_ARGUMENT if the pair cannot be loaded or does not match. */
    static void check(Vertx vertx, PemKeyCertOptions options) {
        try {
            if (!keyMatchesCertificate(
                    (X509KeyManager) options.getKeyManagerFactory(vertx).getKeyManagers()[0])) {
                throw invalidPair("the private key does not belong to the certificate");
            }
        } catch (GatewayException e) {
            throw e;
        } catch (Exception e) { // getKeyManagerFactory declares Exception
            throw invalidPair("the certificate and private key cannot be loaded");
        }
    }

    private static boolean keyMatchesCertificate(X509KeyManager manager) throws GeneralSecurityException {
        Optional<String> alias = Stream.of("RSA", "EC", "EdDSA")
                .flatMap(type -> Optional.ofNullable(manager.getServerAliases(type, null)).stream())
                .flatMap(Stream::of)
                .findFirst();
        if (alias.isEmpty()) {
            return false;
        }
        PrivateKey privateKey = manager.getPrivateKey(alias.get());
        Signature signature = Signature.getInstance(signatureAlgorithm(privateKey));
        signature.initSign(privateKey);
        signature.update(TEST_DATA);
        byte[] signatureBytes = signature.sign();
        signature.initVerify(manager.getCertificateChain(alias.get())[0]);
        signature.update(TEST_DATA);
        return signature.verify(signatureBytes);
    }

    private static String signatureAlgorithm(PrivateKey key) {
        return switch (key.getAlgorithm()) {
            case "RSA" -> "SHA256withRSA";
            case "EC" -> "SHA256withECDSA";
            default -> key.getAlgorithm();
        };
    }

    private static GatewayException invalidPair(String reason) {
        return new GatewayException(ErrorCode.INVALID_ARGUMENT, "tls: " + reason);
    }
}
