package org.celerygw.core.scheduling;

/**
 * How many requests wait until a service's engines have room.
 *
 * @param underWay the requests of programs under way that can still end in time
 * @param others all other requests
 */
public record QueueLength(int underWay, int others) {
    /** Nothing waits. */
    public static final QueueLength NONE = new QueueLength(0, 0);

    /**
     * Adds the requests that wait elsewhere.
     *
     * @param other the other requests
     * @return the sum
     */
    public QueueLength plus(QueueLength other) {
        return new QueueLength(underWay + other.underWay, others + other.others);
    }
}
