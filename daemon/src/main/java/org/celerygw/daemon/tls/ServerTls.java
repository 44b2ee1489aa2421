package org.celerygw.daemon.tls;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.io.Files;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.celerygw.daemon.settings.Settings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sets a server up for TLS, and gives it changed files without a restart. */
public final class ServerTls {
    private static final Logger LOG = LoggerFactory.getLogger(ServerTls.class);
    private static final long POLL_MS = 5_000;

    private final HttpServer server;
    private final Settings.Tls files;
    private HashCode inUse;

    private ServerTls(HttpServer server, Settings.Tls files) throws IOException {
        this.server = server;
        this.files = files;
        this.inUse = hash();
    }

    /**
     * Adds TLS to a server's options; leaves them as they are when TLS is not set.
     *
     * @param options the options to change
     * @param tls the files, if any
     * @return the same options
     */
    public static HttpServerOptions secure(HttpServerOptions options, Optional<Settings.Tls> tls) {
        tls.ifPresent(files -> options.setSsl(true).setUseAlpn(true).setKeyCertOptions(keyCert(files)));
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
            ServerTls reloader = new ServerTls(server, tls.get());
            vertx.setPeriodic(POLL_MS, id -> vertx.executeBlocking(reloader::hash)
                    .compose(reloader::reload)
                    .onFailure(
                            e -> LOG.warn("tls: the files cannot be used, the former ones stay: {}.", e.getMessage())));
        } catch (IOException e) {
            LOG.warn("tls: the files cannot be read and will not be reloaded: {}.", e.getMessage());
        }
    }

    private Future<Boolean> reload(HashCode seen) {
        if (seen.equals(inUse)) {
            return Future.succeededFuture(false);
        }
        return server.updateSSLOptions(new ServerSSLOptions().setUseAlpn(true).setKeyCertOptions(keyCert(files)))
                .onSuccess(changed -> {
                    inUse = seen;
                    LOG.info("tls: changed files are in use.");
                });
    }

    private HashCode hash() throws IOException {
        return Hashing.combineOrdered(List.of(
                Files.asByteSource(files.certificate().toFile()).hash(Hashing.sha256()),
                Files.asByteSource(files.privateKey().toFile()).hash(Hashing.sha256())));
    }

    private static PemKeyCertOptions keyCert(Settings.Tls files) {
        return new PemKeyCertOptions()
                .setCertPath(files.certificate().toString())
                .setKeyPath(files.privateKey().toString());
    }
}
