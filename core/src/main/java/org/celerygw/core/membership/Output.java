package org.celerygw.core.membership;

import java.util.List;

/**
 * The result of one step of the membership: datagrams to send and events to report.
 *
 * @param datagrams the datagrams to send, in this order
 * @param changes the changes in the membership of the fleet
 * @param news the received facts that are newer than those known before
 */
public record Output(List<Datagram> datagrams, List<Change> changes, List<News> news) {
    /** Makes immutable copies of the lists. */
    public Output {
        datagrams = List.copyOf(datagrams);
        changes = List.copyOf(changes);
        news = List.copyOf(news);
    }
}
