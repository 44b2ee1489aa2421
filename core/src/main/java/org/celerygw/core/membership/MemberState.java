package org.celerygw.core.membership;

/** What this daemon holds of another one. */
public enum MemberState {
    /** It answers, as far as anybody has said. */
    ALIVE,
    /** Somebody got no answer; it has some time to refute. */
    SUSPECT,
    /** It did not refute in time, or another process took its address. */
    DEAD,
    /** It said itself that it left. */
    LEFT
}
