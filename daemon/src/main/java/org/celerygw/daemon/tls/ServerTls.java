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

/** Sets a server up for TLS, and gives it changed files without a restart. */
public final class ServerTls {
    private static final Logger LOG = LoggerFactory.getLogger(ServerTls.class);
    private static final long POLL_MS = 5_000;

    private final Vertx vertx;
    private final HttpServer server;
    private final Settings.Tls files;
    private volatile Pair inUse;

    ServerTls(Vertx vertx, HttpServer server, Settings.Tls files) throws IOException {
        this.vertx = vertx;
        this.server = server;
        this.files = files;
        this.inUse = Pair.read(files);
    }

    /**
     * Adds TLS to a server's options; leaves them as they are when TLS is not set.
     *
     * @param vertx loads the files
     * @param options the options to change
     * @param tls the files, if any
     * @return the same options
     * @throws org.celerygw.core.error.GatewayException with code INVALID_ARGUMENT when the files are not a usable pair
     */
    public static HttpServerOptions secure(Vertx vertx, HttpServerOptions options, Optional<Settings.Tls> tls) {
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
     * Looks at the files every few seconds for as long as the process lives, and gives the server a changed pair. A pair
     * that does not load is logged, and the server goes on with the former one.
     *
     * @param vertx runs the timer
     * @param server the server
     * @param tls the files, if any
     */
    public static void reloadOnChange(Vertx vertx, HttpServer server, Optional<Settings.Tls> tls) {
        if (tls.isEmpty()) {
            return;
        }
        try {
            ServerTls reloader = new ServerTls(vertx, server, tls.get());
            vertx.setPeriodic(POLL_MS, id -> reloader.poll()
                    .onFailure(
                            e -> LOG.warn("tls: the files cannot be used, the former ones stay: {}.", e.getMessage())));
        } catch (IOException e) {
            LOG.warn("tls: the files cannot be read and will not be reloaded: {}.", e.getMessage());
        }
    }

    /** Gives the server the files when they changed; true when it took them. */
    Future<Boolean> poll() {
        return vertx.executeBlocking(this::read).compose(this::reload);
    }

    private Pair read() throws IOException {
        Pair pair = Pair.read(files);
        KeyPairCheck.check(vertx, pair.keyCert());
        return pair;
    }

    private Future<Boolean> reload(Pair seen) {
        if (seen.equals(inUse)) {
            return Future.succeededFuture(false);
        }
        return server.updateSSLOptions(new ServerSSLOptions().setUseAlpn(true).setKeyCertOptions(seen.keyCert()))
                .onSuccess(changed -> {
                    inUse = seen;
                    LOG.info("tls: changed files are in use.");
                });
    }

    /** The content of both files; given to the server as it was read, so that a later change cannot mix two pairs. */
    private record Pair(Buffer certificate, Buffer privateKey) {
        static Pair read(Settings.Tls files) throws IOException {
            return new Pair(
                    Buffer.buffer(Files.readAllBytes(files.certificate())),
                    Buffer.buffer(Files.readAllBytes(files.privateKey())));
        }

        PemKeyCertOptions keyCert() {
            return new PemKeyCertOptions().setCertValue(certificate).setKeyValue(privateKey);
        }
    }
}
