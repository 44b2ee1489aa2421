package org.celerygw.daemon.settings;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.owner.OwnerSettings;

/**
 * The validated settings of one daemon. {@code Settings.load(path)} either returns complete settings or throws an
 * exception that lists every problem in the file.
 *
 * @param host the host's identity and location
 * @param listen the listening address, ports and limits for incoming requests
 * @param advertiseAddress the IP address at which peers reach this host
 * @param store the platform's table service and object store
 * @param journal journal writes, leases and retention
 * @param gossip the membership protocol
 * @param peer connections between daemons
 * @param operators who may use the operators' port
 * @param tls the certificate for callers and operators; empty for plain text
 * @param stop the graceful stop
 * @param backends time-outs and polling of engines
 * @param logLevel the lowest level that is logged
 */
public record Settings(
        Host host,
        Listen listen,
        String advertiseAddress,
        Store store,
        OwnerSettings journal,
        Gossip gossip,
        Peer peer,
        List<Operator> operators,
        Optional<Tls> tls,
        Stop stop,
        Backends backends,
        LogLevel logLevel) {

    /**
     * Reads and checks a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException with every problem if the file cannot be read or is invalid
     */
    public static Settings load(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(List.of(new Problem("", "", 0, "cannot read the file " + file)));
        }
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param text the content of a settings file
     * @return the settings
     * @throws SettingsException with every problem if the text is invalid
     */
    public static Settings parse(String text) {
        return new SettingsParser(IniFile.parse(text)).parse();
    }

    /**
     * Returns a commented example with every section and key; it is itself valid.
     *
     * @return the content of a settings file
     */
    public static String example() {
        try (InputStream in = Settings.class.getResourceAsStream("example.ini")) {
            if (in == null) {
                throw new IllegalStateException("example.ini is not on the class path");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * The host's identity and location.
     *
     * @param name the host's name; the incarnation number of each start is appended to it
     * @param zone its availability zone
     * @param release the release shown to operators
     */
    public record Host(String name, AvailabilityZone zone, String release) {}

    /**
     * The listening address, ports and limits for incoming requests.
     *
     * @param address the IP address to bind to
     * @param httpPort the port for callers, health and metrics
     * @param operatorPort the port for operators
     * @param peerPort the TCP port for other daemons
     * @param gossipPort the UDP port for membership
     * @param maxConnections the maximum number of concurrent caller connections
     * @param maxBodyBytes the maximum size of a request body
     * @param maxHeaderBytes the maximum size of a request's header section, all fields together
     */
    public record Listen(
            String address,
            int httpPort,
            int operatorPort,
            int peerPort,
            int gossipPort,
            int maxConnections,
            int maxBodyBytes,
            int maxHeaderBytes) {}

    /**
     * The platform's table service and object store.
     *
     * @param uri the base URI of both
     * @param timeoutMs how long to wait for a response
     */
    public record Store(URI uri, long timeoutMs) {}

    /**
     * The membership protocol.
     *
     * @param seeds daemons to contact first when joining, in addition to the platform's host list
     * @param keys the keys accepted on incoming datagrams; more than one during a key rotation
     * @param signingKeyId the id of the key with which this host signs its datagrams
     * @param probeIntervalMs the interval between probes, each of one other host
     * @param suspicionTimeoutMs how long an unresponsive host stays suspect before it is declared dead
     */
    public record Gossip(
            List<Seed> seeds, List<GossipKey> keys, int signingKeyId, long probeIntervalMs, long suspicionTimeoutMs) {}

    /**
     * Another daemon's gossip address.
     *
     * @param address its IP address
     * @param port its UDP port
     */
    public record Seed(String address, int port) {}

    /**
     * A key for signing datagrams.
     *
     * @param id the key id carried in each datagram
     * @param secret the key
     */
    public record GossipKey(int id, Secret secret) {}

    /**
     * Connections between daemons.
     *
     * @param key the shared key with which both sides authenticate as members of the deployment
     * @param heartbeatMs the interval of heartbeats on an idle connection
     * @param silenceTimeoutMs the time without received data after which a connection is closed
     */
    public record Peer(Secret key, long heartbeatMs, long silenceTimeoutMs) {}

    /**
     * A user of the operators' port.
     *
     * @param name the name shown in the log of operator actions
     * @param role the user's permissions
     * @param keySha256Hex the SHA-256 of the user's key, 64 lower-case hexadecimal digits
     */
    public record Operator(String name, Role role, String keySha256Hex) {}

    /** The permissions of a user of the operators' port. */
    public enum Role {
        /** Reads and changes everything. */
        OPERATOR,
        /** Reads everything, changes nothing. */
        MONITOR
    }

    /**
     * The TLS files; they are reloaded when they change.
     *
     * @param certificate the file of the certificate chain, in PEM format
     * @param privateKey the file of the private key, in PEM format
     */
    public record Tls(Path certificate, Path privateKey) {}

    /**
     * The graceful stop.
     *
     * @param balancerGraceMs how long the host still accepts requests after it reports that it is not ready, so that
     *     the load balancer can react
     * @param timeoutMs the maximum duration of the stop
     */
    public record Stop(long balancerGraceMs, long timeoutMs) {}

    /**
     * Time-outs and polling of engines.
     *
     * @param silenceTimeoutMs the time without received data after which a stream from an engine is closed
     * @param loadPollMs the interval at which an engine's load is read
     * @param cachePollMs the interval at which an engine's cache events are read
     */
    public record Backends(long silenceTimeoutMs, long loadPollMs, long cachePollMs) {}

    /** The lowest level that is logged. */
    public enum LogLevel {
        /** Errors only. */
        ERROR,
        /** Errors and conditions that need attention. */
        WARN,
        /** Scheduling decisions as well. */
        INFO,
        /** Everything, for debugging. */
        DEBUG
    }
}
