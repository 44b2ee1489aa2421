package org.celerygw.daemon.gossip;

import java.util.Map;
import org.celerygw.core.membership.DropReason;

/**
 * What membership sent and received so far.
 *
 * @param sentBytes bytes of datagrams sent, without UDP and IP headers
 * @param receivedBytes bytes of datagrams received
 * @param sentDatagrams datagrams sent
 * @param receivedDatagrams datagrams received
 * @param dropped received datagrams that were dropped, by reason
 */
public record GossipCounters(
        long sentBytes,
        long receivedBytes,
        long sentDatagrams,
        long receivedDatagrams,
        Map<DropReason, Long> dropped) {}
