package org.celerygw.core.id;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.celerygw.core.error.ErrorCode;
import org.celerygw.core.error.GatewayException;
import org.testng.annotations.Test;

public class SlotTest {
    @Test
    public void slotOfProgramNeverChanges() {
        assertEquals(new ProgramId("litoral-1").slot(), new ProgramId("litoral-1").slot());
        assertEquals(new ProgramId("p").slot().number(), 659);
    }

    @Test
    public void rejectsNameWithSpace() {
        GatewayException e = expectThrows(GatewayException.class, () -> new ProgramId("a b"));
        assertEquals(e.code(), ErrorCode.INVALID_ARGUMENT);
    }
}
