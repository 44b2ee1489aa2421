package org.celerygw.core.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.celerygw.core.gen.peers.ZoneRoom;
import org.celerygw.core.servers.ServerList;
import org.celerygw.core.servers.ServerSelector;
import org.celerygw.core.servers.ZoneRooms;

/**
 * Converts the free rooms of zones to and from the messages of digests. A digest has the room of its host's own zone, and
 * a few others in turn for hosts that do not hear from these zones, so that its size does not grow with the fleet.
 */
public final class ZoneRoomCodec {
    private static final int MAX_SERVICES = 8;
    private static final int FORWARDED = 3;

    private ZoneRoomCodec() {}

    /**
     * Returns the reports for a digest.
     *
     * @param servers the servers
     * @param selector knows the group's servers and the other zones
     * @param waiting returns how many requests wait for a service at the hosts of the group
     * @param nowMs the current time, in ms
     * @return at most {@value #MAX_SERVICES} reports of the own zone and {@value #FORWARDED} of others
     */
    public static List<ZoneRoom> encode(
            ServerList servers, ServerSelector selector, ToIntFunction<String> waiting, long nowMs) {
        List<ZoneRooms.ZoneRoom> rooms = new ArrayList<>();
        servers.services().stream().limit(MAX_SERVICES).forEach(service -> selector.localRoom(
                        servers.byService(service), waiting.applyAsInt(service), nowMs)
                .ifPresent(rooms::add));
        rooms.addAll(selector.zoneRooms().toForward(FORWARDED, nowMs));
        return rooms.stream()
                .map(room -> ZoneRoom.newBuilder()
                        .setService(room.service())
                        .setZone(room.zone())
                        .setFreeSlots(room.freeSlots())
                        .setWaiting(room.waiting())
                        .setAgeMs((int) room.ageMs())
                        .build())
                .toList();
    }

    /**
     * Records the reports of a digest.
     *
     * @param reports the reports of another host
     * @param rooms the rooms to update
     * @param nowMs the current time, in ms
     */
    public static void apply(List<ZoneRoom> reports, ZoneRooms rooms, long nowMs) {
        reports.forEach(report -> rooms.report(
                new ZoneRooms.ZoneRoom(
                        report.getService(),
                        report.getZone(),
                        report.getFreeSlots(),
                        report.getWaiting(),
                        report.getAgeMs()),
                nowMs));
    }
}
