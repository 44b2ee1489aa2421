package org.celerygw.standin;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;
import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;

/**
 * Ports of loopback for daemons that must know theirs before they listen, or listen there again. They lie below those
 * that the system gives to outgoing connections, which could take such a port at any time.
 */
public final class FreePorts {
    private static final int FIRST = 12_000;
    private static final int COUNT = 20_000;
    private static final int STEP = 100;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * STEP % COUNT));

    private FreePorts() {}

    /**
     * Returns a port that nobody listens on, by TCP or UDP, and that was not returned lately in this process.
     *
     * @return the port
     */
    public static int next() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            if (isFree(port)) {
                return port;
            }
        }
        throw new GatewayException(ErrorCode.INTERNAL, "no port is free on loopback");
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
