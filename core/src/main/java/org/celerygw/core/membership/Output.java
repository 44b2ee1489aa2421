package org.celerygw.core.membership;

import java.util.List;

/**
 * What a step of membership yields.
 *
 * @param datagrams to be sent, in this order
 * @param changes what changed in the list of members
 * @param news what changed in the facts
 */
public record Output(List<Datagram> datagrams, List<Change> changes, List<News> news) {
    /** Copies the lists. */
    public Output {
        datagrams = List.copyOf(datagrams);
        changes = List.copyOf(changes);
        news = List.copyOf(news);
    }
}
