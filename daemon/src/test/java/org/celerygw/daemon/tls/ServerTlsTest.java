package org.celerygw.daemon.tls;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.util.Optional;
import org.celerygw.core.error.GatewayException;
import org.celerygw.daemon.settings.Settings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServerTlsTest {
    private Vertx vertx;
    private Settings.Tls files;
    private HttpServer server;
    private ServerTls tls;

    @BeforeMethod
    public void start() throws IOException {
        Path directory = Files.createTempDirectory("celerygw-tls");
        files = new Settings.Tls(directory.resolve("tls.crt"), directory.resolve("tls.key"));
        install("one.crt", "one.key");
        vertx = Vertx.vertx();
        server = vertx.createHttpServer(ServerTls.configureTls(vertx, new HttpServerOptions(), Optional.of(files)))
                .requestHandler(request -> request.response().end());
        server.listen(0, "127.0.0.1").await();
        tls = new ServerTls(vertx, server, files);
    }

    @AfterMethod
    public void stop() throws IOException {
        vertx.close().await();
        Files.deleteIfExists(files.certificate());
        Files.deleteIfExists(files.privateKey());
        Files.deleteIfExists(files.certificate().getParent());
    }

    @Test
    public void changedCertificateIsUsedForNewConnections() throws IOException {
        assertEquals(connectAndReadSubject(), "CN=one");
        install("two.crt", "two.key");
        tls.reloadIfChanged().await();
        assertEquals(connectAndReadSubject(), "CN=two");
    }

    @Test
    public void mismatchedKeyLeavesThePreviousPairActive() throws IOException {
        install("two.crt", "one.key");
        GatewayException e =
                expectThrows(GatewayException.class, () -> tls.reloadIfChanged().await());
        assertEquals(e.getMessage(), "tls: the private key does not belong to the certificate");
        assertEquals(connectAndReadSubject(), "CN=one");
        install("two.crt", "two.key");
        tls.reloadIfChanged().await();
        assertEquals(connectAndReadSubject(), "CN=two");
    }

    /** Opens a new HTTP/2 connection, as operators' gRPC clients do, and returns the server certificate's subject. */
    private String connectAndReadSubject() {
        HttpClient client = vertx.createHttpClient(new HttpClientOptions()
                .setSsl(true)
                .setUseAlpn(true)
                .setProtocolVersion(HttpVersion.HTTP_2)
                .setTrustAll(true)
                .setVerifyHost(false));
        String subject = client.request(HttpMethod.GET, server.actualPort(), "127.0.0.1", "/")
                .compose(request -> request.send().map(response -> {
                    assertEquals(response.version(), HttpVersion.HTTP_2);
                    return peerSubject(request.connection().sslSession());
                }))
                .await();
        client.close().await();
        return subject;
    }

    private static String peerSubject(javax.net.ssl.SSLSession session) {
        try {
            return ((X509Certificate) session.getPeerCertificates()[0])
                    .getSubjectX500Principal()
                    .getName();
        } catch (javax.net.ssl.SSLPeerUnverifiedException e) {
            throw new AssertionError(e);
        }
    }

    private void install(String certificate, String privateKey) throws IOException {
        copy(certificate, files.certificate());
        copy(privateKey, files.privateKey());
    }

    private static void copy(String resource, Path target) throws IOException {
        try (InputStream in = ServerTlsTest.class.getResourceAsStream(resource)) {
            Files.copy(in, target, StandardCopyOption.REPLACE_EXISTING);
        }
    }
}
