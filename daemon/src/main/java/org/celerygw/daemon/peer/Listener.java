package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import org.celerygw.core.error.GatewayException;

/**
 * Follows one call at a peer: any number of chunks in order, then either an end or a failure, once. Called on a
 * Netty thread, which it must not block.
 */
public interface Listener {
    /**
     * Takes a part of the answer.
     *
     * @param data the part
     */
    void onChunk(ByteString data);

    /**
     * Takes the end of the answer.
     *
     * @param reply the reply
     */
    void onEnd(ByteString reply);

    /**
     * Takes the failure of the call.
     *
     * @param failure NOT_RUN only when the request was never written or the peer refused it
     */
    void onFail(GatewayException failure);
}
