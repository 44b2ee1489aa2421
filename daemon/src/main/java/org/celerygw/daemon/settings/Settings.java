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
 * The settings of one daemon, checked whole: {@code Settings.load(path)} either returns all of them or throws with
 * every fault in the file.
 *
 * @param host the host's own name and place
 * @param listen where it listens and how much it accepts
 * @param advertiseAddress the IP number at which peers reach it
 * @param store the platform's table and object store
 * @param journal how the owner paces its writes
 * @param gossip membership
 * @param peer connections between daemons
 * @param operators who may give orders or read the record
 * @param tls certificate for callers and operators; empty for plain text
 * @param stop the graceful stop
 * @param backends how engines are watched
 * @param logLevel the least level that is logged
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
     * @throws SettingsException with every fault when the file cannot be read or used
     */
    public static Settings load(Path file) {
        try {
            return parse(Files.readString(file));
        } catch (IOException e) {
            throw new SettingsException(List.of(new Problem("", "", 0, "cannot read the file " + file)));
        }
    }

    /**
     * Checks settings.
     *
     * @param text the content of a settings file
     * @return the settings
     * @throws SettingsException with every fault when they cannot be used
     */
    public static Settings parse(String text) {
        return new SettingsParser(IniFile.read(text)).parse();
    }

    /**
     * Returns a commented example with every section and key; it passes the check.
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
     * The host's own name and place.
     *
     * @param name the host's name; each start adds a number of its own to it
     * @param zone its availability zone
     * @param release the release that operators see
     */
    public record Host(String name, AvailabilityZone zone, String release) {}

    /**
     * Where the daemon listens and how much it accepts.
     *
     * @param address the IP number to bind to
     * @param httpPort the port for callers, health and metrics
     * @param operatorPort the port for operators
     * @param peerPort the TCP port for other daemons
     * @param gossipPort the UDP port for membership
     * @param maxConnections the most caller connections at once
     * @param maxBodyBytes the largest request body
     * @param maxHeaderBytes the largest request header, all lines together
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
     * The platform's table and object store.
     *
     * @param uri where it answers
     * @param timeoutMs how long to wait for an answer
     */
    public record Store(URI uri, long timeoutMs) {}

    /**
     * Membership.
     *
     * @param seeds other daemons to ask first, besides the platform's host list
     * @param keys the keys that datagrams may be signed with; more than one while keys are exchanged
     * @param sendKeyId the id of the key that this host signs with
     * @param probeIntervalMs how often one other host is probed
     * @param suspicionMs how long a silent host is suspected before it counts as dead
     */
    public record Gossip(
            List<Seed> seeds, List<GossipKey> keys, int sendKeyId, long probeIntervalMs, long suspicionMs) {}

    /**
     * Another daemon's gossip address.
     *
     * @param address its IP number
     * @param port its UDP port
     */
    public record Seed(String address, int port) {}

    /**
     * A key that datagrams are signed with.
     *
     * @param id the number that datagrams name it by
     * @param secret the key
     */
    public record GossipKey(int id, Secret secret) {}

    /**
     * Connections between daemons.
     *
     * @param key proves to each side that the other belongs to the deployment
     * @param heartbeatMs how often an idle connection sends a heartbeat
     * @param silenceMs a connection silent for this long is dropped
     */
    public record Peer(Secret key, long heartbeatMs, long silenceMs) {}

    /**
     * Somebody who may use the operators' port.
     *
     * @param name the name that the record of actions shows
     * @param role what it may do
     * @param keySha256Hex the SHA-256 of its key, 64 lower-case hexadecimal digits
     */
    public record Operator(String name, Role role, String keySha256Hex) {}

    /** What a user of the operators' port may do. */
    public enum Role {
        /** Everything. */
        OPERATOR,
        /** Read everything, change nothing. */
        MONITOR
    }

    /**
     * The files for TLS; they are read again when they change.
     *
     * @param certificate the certificate chain as PEM
     * @param privateKey the private key as PEM
     */
    public record Tls(Path certificate, Path privateKey) {}

    /**
     * The graceful stop.
     *
     * @param balancerGraceMs how long the host goes on accepting after it reports that it is not ready
     * @param limitMs the longest that the stop may take
     */
    public record Stop(long balancerGraceMs, long limitMs) {}

    /**
     * How engines are watched.
     *
     * @param silenceMs a stream silent for this long is dropped
     * @param loadPollMs how often an engine's load is read
     * @param cachePollMs how often an engine's cache events are read
     */
    public record Backends(long silenceMs, long loadPollMs, long cachePollMs) {}

    /** The least level that is logged. */
    public enum LogLevel {
        /** Faults only. */
        ERROR,
        /** Faults and matters for attention. */
        WARN,
        /** Decisions as well. */
        INFO,
        /** Everything. */
        DEBUG
    }
}
