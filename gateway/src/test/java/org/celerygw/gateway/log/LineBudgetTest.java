package org.celerygw.gateway.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

public final class LineBudgetTest {
    @Test
    public void ordinaryLinesAreDroppedAndCountedBeforeAnyWarning() {
        LineBudget budget = new LineBudget(2, 3);
        assertTrue(budget.allows("sent", false, 0));
        assertTrue(budget.allows("sent", false, 10));
        assertFalse(budget.allows("sent", false, 20));
        assertTrue(budget.allows("refused", true, 30));
        assertTrue(budget.allows("refused", true, 40));
        assertTrue(budget.allows("refused", true, 50));
        assertFalse(budget.allows("refused", true, 60));
        assertEquals(budget.takeDropped(), 2);
        assertEquals(budget.takeDropped(), 0);
        assertTrue(budget.allows("sent", false, 1_000));
    }
}
