package org.celerygw.core.servers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class RequestLimitTest {
    private static final long NOW_MS = 100_000;

    private final RequestLimit limit = new RequestLimit();

    /** Guards against the failure that late or wrong messages of peers lift, restore or invent a limit for long. */
    @Test
    public void ownResponsesGoBeforeOlderMessagesOfPeers() {
        RequestLimit own = new RequestLimit();
        assertTrue(own.recordTold(3, 50, NOW_MS));
        assertEquals(own.perS(NOW_MS), 3.0);
        assertTrue(own.recordResponse(Double.POSITIVE_INFINITY, NOW_MS + 1));
        assertFalse(own.recordTold(3, 10, NOW_MS + 5));
        assertFalse(own.isInForce(NOW_MS + 5));
        own.recordResponse(2, NOW_MS + 10);
        assertTrue(own.isInForce(NOW_MS + 1_000_000));
    }

    @Test
    public void whatPeersTellIsForgottenAndChecked() {
        RequestLimit told = new RequestLimit();
        assertFalse(told.recordTold(3, RequestLimit.MAX_TOLD_AGE_MS + 1, NOW_MS));
        assertFalse(told.recordTold(0, 0, NOW_MS));
        assertFalse(told.recordTold(Double.NaN, 0, NOW_MS));
        assertFalse(told.recordTold(-1, 0, NOW_MS));
        assertTrue(told.recordTold(3, -5, NOW_MS));
        assertTrue(told.isInForce(NOW_MS + RequestLimit.MAX_TOLD_AGE_MS));
        assertFalse(told.isInForce(NOW_MS + RequestLimit.MAX_TOLD_AGE_MS + 1));
    }

    @Test
    public void permitAllowsOneRequestWhileItIsValid() {
        limit.recordResponse(2, NOW_MS);
        assertFalse(limit.allowsRequest(NOW_MS));
        limit.grantPermit(NOW_MS + 10, NOW_MS + 20);
        assertFalse(limit.allowsRequest(NOW_MS + 9));
        assertTrue(limit.allowsRequest(NOW_MS + 10));
        assertFalse(limit.mayRequestPermit(NOW_MS + 10));
        limit.usePermit();
        assertFalse(limit.allowsRequest(NOW_MS + 11));
        assertFalse(limit.takeUnusedPermit(NOW_MS + 30));
        limit.grantPermit(NOW_MS + 40, NOW_MS + 50);
        assertTrue(limit.takeUnusedPermit(NOW_MS + 50));
        assertFalse(limit.takeUnusedPermit(NOW_MS + 51));
    }
}
