package org.celerygw.core.helper;

import org.jspecify.annotations.Nullable;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * The signals of a daemon's process. Install them before anything else is done, as the JVM's own handlers end the process;
 * requests that come before the daemon can act on them are kept until it can. Thread-safe.
 *
 * <pre>{@code
 * ProcessSignals signals = ProcessSignals.install();
 * ...
 * signals.deliverTo(daemon::stop, daemon::reload);
 * }</pre>
 */
public final class ProcessSignals implements SignalHandler {
    private static final String RELOAD = "HUP";

    private @Nullable Runnable onStop;
    private @Nullable Runnable onReload;
    private int pendingStops;
    private boolean reloadIsPending;

    private ProcessSignals() {}

    /**
     * Takes over SIGHUP, which asks for a reload of the settings, and SIGTERM and SIGINT, which ask for a stop.
     *
     * @return the signals of this process
     */
    public static ProcessSignals install() {
        ProcessSignals signals = new ProcessSignals();
        Signal.handle(new Signal(RELOAD), signals);
        Signal.handle(new Signal("TERM"), signals);
        Signal.handle(new Signal("INT"), signals);
        return signals;
    }

    @Override
    public synchronized void handle(Signal signal) {
        if (RELOAD.equals(signal.getName())) {
            reloadIsPending = true;
        } else {
            pendingStops++;
        }
        deliver();
    }

    /**
     * Returns whether a stop was requested that could not be delivered yet.
     *
     * @return true from such a request until {@link #deliverTo}
     */
    public synchronized boolean stopIsPending() {
        return pendingStops > 0;
    }

    /**
     * Delivers requests from now on, and those that have come before at once.
     *
     * @param stop called for each request to stop; must not block
     * @param reload called after a request to reload, once for several that come before this call; must not block
     */
    public synchronized void deliverTo(Runnable stop, Runnable reload) {
        onStop = stop;
        onReload = reload;
        deliver();
    }

    private void deliver() {
        if (reloadIsPending && onReload != null) {
            reloadIsPending = false;
            onReload.run();
        }
        while (pendingStops > 0 && onStop != null) {
            pendingStops--;
            onStop.run();
        }
    }
}
