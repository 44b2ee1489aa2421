package org.celerygw.daemon.gossip;

import java.util.Map;
import org.celerygw.core.membership.DropReason;

/**
 * Counters of the membership datagrams since the start of the daemon.
 *
 * @param sentBytes bytes of datagrams sent, without UDP and IP headers
 * @param receivedBytes bytes of datagrams received, without UDP and IP headers
 * @param sentDatagrams number of datagrams sent
 * @param receivedDatagrams number of datagrams received, including dropped ones
 * @param droppedDatagrams number of received datagrams that were dropped, by reason
 */
public record GossipCounters(
        long sentBytes,
        long receivedBytes,
        long sentDatagrams,
        long receivedDatagrams,
        Map<DropReason, Long> droppedDatagrams) {}
