package org.celerygw.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.celerygw.core.id.BackendServerId;
import org.celerygw.core.id.ModelName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PlacementTest {
    private static final BackendServerId E1 = new BackendServerId("e1");
    private static final BackendServerId E2 = new BackendServerId("e2");
    private static final BackendServerId E3 = new BackendServerId("e3");
    private static final ModelName OLD = new ModelName("m:1");
    private static final ModelName NEW = new ModelName("m:2");
    private static final Steward.Settings SETTINGS = new Steward.Settings(60_000, 10_000, 2);
    private WeightShare plenty;

    @BeforeMethod
    public void makeShare() {
        plenty = new WeightShare(60_000_000, 1);
    }

    private Steward steward(boolean honoursFencing) {
        return new Steward(E1, honoursFencing, 7, NEW, OLD, SETTINGS, 0);
    }

    @Test
    public void orderIsRepeatedUntilTheEngineReportsTheDesiredModel() {
        Steward s = steward(true);
        s.reported(OLD, 0);
        assertEquals(s.next(plenty, 0).orElseThrow().model(), NEW);
        assertTrue(s.next(plenty, 5_000).isEmpty());
        assertEquals(s.next(plenty, 10_000).orElseThrow().fence(), 7);
        s.reported(NEW, 11_000);
        assertTrue(s.next(plenty, 30_000).isEmpty());
    }

    @Test
    public void engineThatIgnoresFencingIsLeftAloneUntilOldOrdersAreOver() {
        Steward s = steward(false);
        s.reported(OLD, 59_000);
        assertTrue(s.next(plenty, 59_000).isEmpty());
        assertTrue(s.next(plenty, 61_000).isEmpty(), "the report is from before the wait ended");
        s.reported(OLD, 61_500);
        assertTrue(s.next(plenty, 61_500).isPresent());
    }

    @Test
    public void badVersionIsRolledBackToTheLastGoodOne() {
        Steward s = steward(true);
        s.reported(OLD, 0);
        s.next(plenty, 0);
        assertFalse(s.loadFailed(NEW));
        assertTrue(s.loadFailed(NEW));
        s.reported(NEW, 20_000);
        assertEquals(s.next(plenty, 20_000).orElseThrow().model(), OLD);
    }

    @Test
    public void weightStoreLimitIsSharedByHosts() {
        WeightShare share = new WeightShare(6, 3);
        assertTrue(share.take(0));
        assertFalse(share.take(20_000));
        assertTrue(share.take(30_000));
    }

    @Test
    public void demandThatSwingsMovesNoEngine() {
        Planner planner = new Planner(0.8, 0.6, 60_000);
        Map<BackendServerId, ModelName> plan = Map.of(E1, OLD, E2, OLD, E3, NEW);
        for (int i = 0; i < 20; i++) {
            double high = i % 2 == 0 ? 1.5 : 0.5;
            List<ModelDemand> demands = List.of(new ModelDemand(OLD, 0.2, 1), new ModelDemand(NEW, high, 1));
            assertEquals(planner.next(plan, demands, i * 30_000L), Optional.empty());
        }
    }

    @Test
    public void lastingDemandMovesOneEngineFromAModelWithSpare() {
        Planner planner = new Planner(0.8, 0.6, 60_000);
        Map<BackendServerId, ModelName> plan = Map.of(E1, OLD, E2, OLD, E3, NEW);
        List<ModelDemand> demands = List.of(new ModelDemand(OLD, 0.2, 1), new ModelDemand(NEW, 1.5, 1));
        assertTrue(planner.next(plan, demands, 0).isEmpty());
        Planner.Move move = planner.next(plan, demands, 60_000).orElseThrow();
        assertEquals(move.engine(), E1);
        assertEquals(move.to(), NEW);
    }

    @Test
    public void noEngineMovesToABadVersion() {
        Planner planner = new Planner(0.8, 0.6, 0);
        planner.markBad(NEW);
        Map<BackendServerId, ModelName> plan = Map.of(E1, OLD, E2, OLD, E3, NEW);
        List<ModelDemand> demands = List.of(new ModelDemand(OLD, 0.2, 1), new ModelDemand(NEW, 1.5, 1));
        assertTrue(planner.next(plan, demands, 0).isEmpty());
    }
}
