package org.celerygw.core.servers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The free room of each availability zone by service, as hosts of these zones report it, and how much of it this host may
 * use. Reports are smoothed and expire. A host borrows at a rate in proportion to the free room and to its part of the
 * hosts that borrow, so that these together use less than the room that there is. Not thread-safe.
 */
public final class ZoneRooms {
    static final long MAX_AGE_MS = 8_000;

    private static final int MAX_ENTRIES = 256;
    private static final double SMOOTHING_FACTOR = 0.3;
    private static final long SMOOTHED_AGE_MS = 2_000;
    /** With a rate of twice the free room per service time, two thirds of the room are used in equilibrium. */
    private static final double BORROWED_SHARE = 2;

    private static final double MAX_SAVED_MS = 250;
    private static final long MAX_FORWARDED_AGE_MS = 3_000;

    private final Map<Key, Entry> entries = new HashMap<>();
    private int nextForwarded;

    private record Key(String service, String zone) {}

    private static final class Entry {
        double freeSlots;
        double waiting;
        long atMs;
        double tokens = 1;
        long tokensAtMs;
    }

    /**
     * The free room at the servers of one service in one zone.
     *
     * @param service the service's name
     * @param zone the zone
     * @param freeSlots the number of requests that its servers can start at once
     * @param waiting the number of requests that wait in the zone
     * @param ageMs the age of these numbers, in ms
     */
    public record ZoneRoom(String service, String zone, int freeSlots, int waiting, long ageMs) {}

    /**
     * Records a report of a host.
     *
     * @param room the room as reported
     * @param nowMs the current time, in ms
     */
    public void report(ZoneRoom room, long nowMs) {
        long atMs = nowMs - Math.max(0, room.ageMs());
        Key key = new Key(room.service(), room.zone());
        if (nowMs - atMs > MAX_AGE_MS || (entries.size() >= MAX_ENTRIES && !entries.containsKey(key))) {
            return;
        }
        Entry entry = entries.get(key);
        if (entry == null) {
            entry = new Entry();
            entry.tokensAtMs = nowMs;
            entries.put(key, entry);
        } else if (atMs <= entry.atMs) {
            return;
        }
        double factor = atMs - entry.atMs > SMOOTHED_AGE_MS ? 1 : SMOOTHING_FACTOR;
        entry.freeSlots += factor * (Math.max(0, room.freeSlots()) - entry.freeSlots);
        entry.waiting += factor * (Math.max(0, room.waiting()) - entry.waiting);
        entry.atMs = atMs;
    }

    /**
     * Forgets reports that have expired.
     *
     * @param nowMs the current time, in ms
     */
    public void removeExpired(long nowMs) {
        entries.values().removeIf(entry -> nowMs - entry.atMs > MAX_AGE_MS);
    }

    /**
     * Returns a few reports for hosts that do not hear of these zones themselves, other ones each time.
     *
     * @param count the maximum number
     * @param nowMs the current time, in ms
     * @return the reports, with their ages
     */
    public List<ZoneRoom> toForward(int count, long nowMs) {
        List<Map.Entry<Key, Entry>> recent = entries.entrySet().stream()
                .filter(entry -> nowMs - entry.getValue().atMs <= MAX_FORWARDED_AGE_MS)
                .sorted(Comparator.comparing(
                                (Map.Entry<Key, Entry> entry) -> entry.getKey().zone())
                        .thenComparing(entry -> entry.getKey().service()))
                .toList();
        List<ZoneRoom> forwarded = new ArrayList<>();
        for (int i = 0; i < Math.min(count, recent.size()); i++) {
            Map.Entry<Key, Entry> entry = recent.get(Math.floorMod(nextForwarded++, recent.size()));
            Entry room = entry.getValue();
            forwarded.add(new ZoneRoom(
                    entry.getKey().service(),
                    entry.getKey().zone(),
                    (int) Math.round(room.freeSlots),
                    (int) Math.round(room.waiting),
                    nowMs - room.atMs));
        }
        return forwarded;
    }

    /**
     * Returns the free room of a zone that no waiting request of that zone needs.
     *
     * @param service the service's name
     * @param zone the zone
     * @param nowMs the current time, in ms
     * @return the number of requests that its servers can start at once; 0 if not known
     */
    public double freeSlots(String service, String zone, long nowMs) {
        Entry entry = entries.get(new Key(service, zone));
        return entry == null || nowMs - entry.atMs > MAX_AGE_MS ? 0 : Math.max(0, entry.freeSlots - entry.waiting);
    }

    /**
     * Returns how many zones lack free slots for their own requests.
     *
     * @param service the service's name
     * @return the number, 1 or more
     */
    int countZonesWithoutRoom(String service) {
        return (int) Math.max(
                1,
                entries.entrySet().stream()
                        .filter(entry -> entry.getKey().service().equals(service))
                        .filter(entry -> entry.getValue().freeSlots < 1 + entry.getValue().waiting)
                        .count());
    }

    /** Returns how many requests this host may send to a zone now. */
    double tokens(String service, String zone, int hosts, double serviceMs, long nowMs) {
        Entry entry = entries.get(new Key(service, zone));
        double freeSlots = freeSlots(service, zone, nowMs);
        if (entry == null || freeSlots < 1) {
            return 0;
        }
        double perMs = BORROWED_SHARE * freeSlots / Math.max(1, serviceMs) / hosts / countZonesWithoutRoom(service);
        double addedMs = Math.max(0.0, (double) (nowMs - entry.tokensAtMs));
        entry.tokens = Math.min(Math.max(1, perMs * MAX_SAVED_MS), entry.tokens + perMs * addedMs);
        entry.tokensAtMs = nowMs;
        return entry.tokens;
    }

    /** Records that this host sends a request to a zone. */
    void useToken(String service, String zone) {
        Entry entry = entries.get(new Key(service, zone));
        if (entry != null) {
            entry.tokens--;
        }
    }
}
