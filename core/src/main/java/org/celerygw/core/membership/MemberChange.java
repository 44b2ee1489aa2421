package org.celerygw.core.membership;

/**
 * A change in the membership of the fleet, as one daemon detected it.
 *
 * @param kind the kind of change
 * @param member the member's record after the change
 * @param detectedAtMs when this daemon detected the change, by its own clock
 */
public record MemberChange(Kind kind, Member member, long detectedAtMs) {
    /** The kind of a membership change. */
    public enum Kind {
        /** The member is new, or it is alive again after it was declared dead. */
        JOINED,
        /** A newer incarnation changed its record, for example because it is leaving. */
        UPDATED,
        /** A probe of this or of another daemon timed out. */
        SUSPECTED,
        /** The member refuted the suspicion with a higher incarnation number. */
        CLEARED,
        /** The suspicion was not refuted before its time-out. */
        DEAD,
        /** A process with another host id has taken over its address. */
        REPLACED,
        /** The member announced that it has left the fleet. */
        LEFT
    }
}
