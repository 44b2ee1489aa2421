package org.celerygw.core.membership;

import com.google.protobuf.ByteString;

/**
 * A datagram to send.
 *
 * @param to where to
 * @param content at most {@link MembershipSettings#maxDatagramBytes()} bytes
 */
public record Datagram(Endpoint to, ByteString content) {}
