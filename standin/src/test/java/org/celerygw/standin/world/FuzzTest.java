package org.celerygw.standin.world;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that random steps violate no property and that the oracle detects each deliberate fault. */
public class FuzzTest {
    private static final int STEPS = 200;
    private static final int MAX_SEEDS = 12;

    @Test
    public void propertiesHoldForGeneratedSteps() {
        qt().withFixedSeed(20261204)
                .withExamples(6)
                .withShrinkCycles(20)
                .forAll(lists().of(integers().between(0, 99)).ofSizeBetween(20, 80))
                .check(actions -> Fuzz.run(7, actions).violations().isEmpty());
    }

    @Test
    public void propertiesHoldForRandomSteps() {
        List<String> violations = IntStream.range(0, 8)
                .mapToObj(seed -> Fuzz.run(seed, 100, false))
                .flatMap(r -> r.violations().stream())
                .toList();
        assertEquals(violations, List.of());
    }

    /**
     * Regression seeds, each of which once violated a property.
     *
     * <ul>
     *   <li>7785 and 7814: a retry that arrived between an operator's settlement and its record was answered from the
     *       place where the unknown outcome had been written, with an empty answer.
     *   <li>20300: a call of a program whose retention had expired was refused as not run although it had run.
     *   <li>20387: an owner that resumed after its lease had expired reported a program as unknown that another host
     *       had created in the meantime.
     *   <li>31160: a slot that was handed over and claimed again while a snapshot was being written lost its chain and
     *       with it its programs.
     *   <li>31335: a sealed host overwrote the row of the host that had since claimed the slot, and two hosts served
     *       one program.
     * </ul>
     */
    @Test
    public void propertiesHoldForRegressionSeeds() {
        List<String> violations = IntStream.of(7785, 7814, 20300, 20387, 31160, 31335)
                .mapToObj(seed -> Fuzz.run(seed, 200, false))
                .flatMap(r -> r.violations().stream())
                .toList();
        assertEquals(violations, List.of());
    }

    @Test
    public void sameSeedProducesSameRun() {
        assertEquals(Fuzz.run(3, 60, true), Fuzz.run(3, 60, true));
    }

    @DataProvider
    Object[][] deliberateFaults() {
        return IntStream.range(0, Mutations.all().size())
                .mapToObj(i -> new Object[] {Mutations.all().get(i).name(), i})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "deliberateFaults")
    public void oracleDetectsDeliberateFault(String name, int index) {
        boolean detected = IntStream.range(0, MAX_SEEDS)
                .mapToObj(seed -> Fuzz.run(seed, STEPS, false, Mutations.all().get(index)))
                .anyMatch(r -> !r.violations().isEmpty());
        assertTrue(detected, name + ": not detected with any seed");
    }

    @Test
    public void runProducesAnswers() {
        assertFalse(Fuzz.run(1, 60, false).answers() == 0);
    }
}
