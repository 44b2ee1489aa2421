package org.celerygw.core.membership;

import com.google.protobuf.ByteString;

/**
 * A UDP datagram to send.
 *
 * @param destination the gossip endpoint of the receiver
 * @param content the signed packet, at most {@link MembershipSettings#maxDatagramBytes()} bytes
 */
public record Datagram(Endpoint destination, ByteString content) {}
