package org.celerygw.core.membership;

/** Why a datagram was dropped. */
public enum DropReason {
    /** It is longer than the limit. */
    OVERSIZED,
    /** It cannot be decoded, or a field is out of range. */
    MALFORMED,
    /** It is signed with a key that is not accepted here. */
    UNKNOWN_KEY,
    /** Its authentication tag does not fit. */
    BAD_TAG,
    /** It belongs to another fleet. */
    FOREIGN,
    /** Its sequence number was seen before or is too old to tell. */
    REPLAYED,
    /** It comes from an unknown sender and was sent long ago. */
    STALE,
    /** This daemon sent it itself. */
    OWN
}
