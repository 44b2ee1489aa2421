package org.celerygw.daemon.peer;

/**
 * What happened on the connections between daemons so far.
 *
 * @param connected connections whose peer proved its key, either way
 * @param silent connections dropped because pings stayed unanswered
 * @param rejected connections dropped because the peer proved no accepted key or broke the protocol
 * @param strayFrames frames for streams that had ended or never began; dropped
 * @param slowReaders calls failed because their reader was too slow
 */
public record PeerCounters(long connected, long silent, long rejected, long strayFrames, long slowReaders) {}
