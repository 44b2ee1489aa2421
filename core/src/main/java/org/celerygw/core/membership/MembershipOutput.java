package org.celerygw.core.membership;

import java.util.List;

/**
 * The result of one step of the membership: datagrams to send and events to report.
 *
 * @param datagrams the datagrams to send, in this order
 * @param memberChanges the changes in the membership of the fleet
 * @param factUpdates the received facts that are newer than those known before
 */
public record MembershipOutput(
        List<Datagram> datagrams, List<MemberChange> memberChanges, List<FactUpdate> factUpdates) {
    /** Makes immutable copies of the lists. */
    public MembershipOutput {
        datagrams = List.copyOf(datagrams);
        memberChanges = List.copyOf(memberChanges);
        factUpdates = List.copyOf(factUpdates);
    }
}
