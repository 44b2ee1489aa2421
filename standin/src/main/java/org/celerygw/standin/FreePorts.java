package org.celerygw.standin;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/**
 * Allocates loopback ports for daemons that must know their port before they listen or must listen on it again later.
 * The ports are below the system's ephemeral range, since an outgoing connection could take a port of that range at any
 * time.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    private static final int PORTS_PER_PROCESS = 100;
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT));

    private FreePorts() {}

    /**
     * Returns a port that is free for TCP and UDP. A port is returned again only after all the others of the range were
     * tried in this process.
     *
     * @return the port number
     */
    public static int next() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new GatewayException(ErrorCode.INTERNAL, "no free port found on loopback");
    }

    private static boolean isFree(int port) {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        try (ServerSocket tcp = new ServerSocket(port, 1, loopback);
                DatagramSocket udp = new DatagramSocket(port, loopback)) {
            return tcp.isBound() && udp.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
