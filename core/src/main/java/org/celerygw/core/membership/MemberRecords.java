package org.celerygw.core.membership;

import org.celerygw.core.gen.fleet.MemberRecord;
import org.celerygw.core.gen.fleet.RecordState;
import org.celerygw.core.id.AvailabilityZone;
import org.celerygw.core.id.HostId;

/** Converts between members and their protobuf records. */
final class MemberRecords {
    private MemberRecords() {}

    static MemberRecord aliveRecord(Member member, int incarnation) {
        return MemberRecord.newBuilder()
                .setHost(member.host().value())
                .setIncarnation(incarnation)
                .setState(RecordState.ALIVE)
                .setAddress(member.address())
                .setGossipPort(member.gossipPort())
                .setPeerPort(member.peerPort())
                .setHttpPort(member.httpPort())
                .setZone(member.zone().value())
                .setRelease(member.release())
                .setStartedMs(member.startedMs())
                .setConfigVersion(member.configVersion())
                .setLeaving(member.leaving())
                .build();
    }

    /** Returns a record that only has the host id, the incarnation and the state of a member. */
    static MemberRecord stateRecord(HostId host, int incarnation, RecordState state) {
        return MemberRecord.newBuilder()
                .setHost(host.value())
                .setIncarnation(incarnation)
                .setState(state)
                .build();
    }

    static Member toMember(MemberRecord record) {
        return new Member(
                new HostId(record.getHost()),
                record.getAddress(),
                record.getGossipPort(),
                record.getPeerPort(),
                record.getHttpPort(),
                new AvailabilityZone(record.getZone()),
                record.getRelease(),
                record.getStartedMs(),
                record.getConfigVersion(),
                record.getLeaving());
    }
}
