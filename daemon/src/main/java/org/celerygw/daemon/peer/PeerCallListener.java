package org.celerygw.daemon.peer;

import com.google.protobuf.ByteString;
import org.celerygw.core.error.GatewayException;

/**
 * Receives the response to one call to a peer: any number of chunks in order, then exactly one end or failure.
 * Called on a Netty thread, which it must not block.
 */
public interface PeerCallListener {
    /**
     * Called with the next chunk of the response.
     *
     * @param data bytes that follow those of the previous chunk
     */
    void onChunk(ByteString data);

    /**
     * Called when the call has succeeded, after its last chunk.
     *
     * @param reply encoded reply
     */
    void onEnd(ByteString reply);

    /**
     * Called when the call has failed.
     *
     * @param failure cause of the failure; its run state is NOT_RUN only if the request was never written or the peer
     *     rejected it
     */
    void onFail(GatewayException failure);
}
