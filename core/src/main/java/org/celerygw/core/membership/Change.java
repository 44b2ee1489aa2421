package org.celerygw.core.membership;

/**
 * A change in the list of members.
 *
 * @param kind what happened
 * @param member the member as it is now
 * @param atMs when this daemon concluded it
 */
public record Change(Kind kind, Member member, long atMs) {
    /** What happened to a member. */
    public enum Kind {
        /** It is new, or back after it was held dead. */
        JOINED,
        /** Its record changed, for example it is leaving. */
        UPDATED,
        /** It gave somebody no answer. */
        SUSPECTED,
        /** It refuted a suspicion. */
        CLEARED,
        /** It did not refute in time. */
        DEAD,
        /** Another process answers at its address. */
        REPLACED,
        /** It said that it left. */
        LEFT
    }
}
