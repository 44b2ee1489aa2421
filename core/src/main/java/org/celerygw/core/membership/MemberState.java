package org.celerygw.core.membership;

/** The state of another member, as this daemon sees it. */
public enum MemberState {
    /** Not suspected: no failed probe of it is known, or it has refuted the suspicion. */
    ALIVE,
    /** A probe of it failed; it may refute the suspicion until the suspicion time-out. */
    SUSPECT,
    /** It did not refute the suspicion in time, or another process took over its address. */
    DEAD,
    /** It announced that it has left the fleet. */
    LEFT
}
