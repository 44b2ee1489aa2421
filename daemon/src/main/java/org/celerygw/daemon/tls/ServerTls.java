package org.celerygw.daemon.tls;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Optional;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Configures a server for TLS and reloads changed certificate files without a restart. */
public final class ServerTls {
    private static final Logger LOG = LoggerFactory.getLogger(ServerTls.class);
    private static final long POLL_INTERVAL_MS = 5_000;

    private final Vertx vertx;
    private final HttpServer server;
    private final Settings.Tls files;
    private volatile PemPair activePair;

    ServerTls(Vertx vertx, HttpServer server, Settings.Tls files) throws IOException {
        this.vertx = vertx;
        this.server = server;
        this.files = files;
        this.activePair = PemPair.read(files);
    }

    /**
     * Enables TLS in a server's options; leaves them unchanged if no TLS files are configured.
     *
     * @param vertx the Vert.x instance that loads the files
     * @param options the options to change
     * @param tls the certificate and key files; empty for plain text
     * @return the same options
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT if the files cannot be loaded or the
     *     private key does not belong to the certificate
     */
    public static HttpServerOptions configureTls(Vertx vertx, HttpServerOptions options, Optional<Settings.Tls> tls) {
        tls.ifPresent(files -> {
            PemKeyCertOptions pair = new PemKeyCertOptions()
                    .setCertPath(files.certificate().toString())
                    .setKeyPath(files.privateKey().toString());
            KeyPairCheck.check(vertx, pair);
            options.setSsl(true).setUseAlpn(true).setKeyCertOptions(pair);
        });
        return options;
    }

    /**
     * Reads the files periodically until the Vert.x instance closes and reconfigures the server when they change. A
     * pair that cannot be used is logged, and the server keeps the previous one.
     *
     * @param vertx the Vert.x instance that runs the timer
     * @param server the server to reconfigure
     * @param tls the certificate and key files; empty for plain text, which disables the reload
     */
    public static void reloadOnChange(Vertx vertx, HttpServer server, Optional<Settings.Tls> tls) {
        if (tls.isEmpty()) {
            return;
        }
        try {
            ServerTls reloader = new ServerTls(vertx, server, tls.get());
            vertx.setPeriodic(POLL_INTERVAL_MS, id -> reloader.reloadIfChanged()
                    .onFailure(e -> LOG.warn(
                            "tls: cannot use the changed files, keeping the previous pair: {}.", e.getMessage())));
        } catch (IOException e) {
            LOG.warn("tls: cannot read the files, they will not be reloaded: {}.", e.getMessage());
        }
    }

    /** Reconfigures the server if the files changed; yields true if it did so. */
    Future<Boolean> reloadIfChanged() {
        return vertx.executeBlocking(this::readPair).compose(this::apply);
    }

    private PemPair readPair() throws IOException {
        PemPair pair = PemPair.read(files);
        KeyPairCheck.check(vertx, pair.keyCert());
        return pair;
    }

    private Future<Boolean> apply(PemPair pair) {
        if (pair.equals(activePair)) {
            return Future.succeededFuture(false);
        }
        return server.updateSSLOptions(new ServerSSLOptions().setUseAlpn(true).setKeyCertOptions(pair.keyCert()))
                .onSuccess(changed -> {
                    activePair = pair;
                    LOG.info("tls: reloaded the changed certificate and private key.");
                });
    }

    /** The contents of both files. The server gets these bytes, not paths, so a later change cannot mix two pairs. */
    private record PemPair(Buffer certificate, Buffer privateKey) {
        static PemPair read(Settings.Tls files) throws IOException {
            return new PemPair(
                    Buffer.buffer(Files.readAllBytes(files.certificate())),
                    Buffer.buffer(Files.readAllBytes(files.privateKey())));
        }

        PemKeyCertOptions keyCert() {
            return new PemKeyCertOptions().setCertValue(certificate).setKeyValue(privateKey);
        }
    }
}
