package org.celerygw.core.membership;

/** The reason for which a received datagram was dropped. */
public enum DropReason {
    /** Longer than the maximum datagram size. */
    OVERSIZED,
    /** Cannot be decoded, or a field is out of range. */
    MALFORMED,
    /** Signed with a key that this daemon does not accept. */
    UNKNOWN_KEY,
    /** The authentication tag does not match the content. */
    BAD_TAG,
    /** Sent by a member of another fleet. */
    FOREIGN,
    /** The sequence number was seen before, or is older than the replay window. */
    REPLAYED,
    /** The sender is unknown, and its send time differs too much from the local clock. */
    STALE,
    /** Sent by this daemon itself. */
    OWN
}
