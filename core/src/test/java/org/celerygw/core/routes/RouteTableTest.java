package org.celerygw.core.routes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public final class RouteTableTest {
    private final RouteTable table = new RouteTable(
            3,
            List.of(
                    route("short", "a.example", "/x/"),
                    route("long", "a.example", "/x/y/"),
                    route("b", "b.example", "/")),
            List.of(new Service("s", 10, false, 0, 1, 0)),
            new RouteTable.Limits(1_000, 1_000, 1_000, 1_000));

    @Test
    public void findsRouteWithLongestPrefix() {
        assertEquals(table.find("a.example", "/x/y/z").orElseThrow().name(), "long");
        assertEquals(table.find("a.example", "/x/yy").orElseThrow().name(), "short");
        assertEquals(table.find("a.example", "/x/y").orElseThrow().name(), "short");
    }

    @Test
    public void ignoresPortAndCaseOfHost() {
        assertEquals(table.find("A.Example:8080", "/x/").orElseThrow().name(), "short");
        assertTrue(table.find("c.example", "/x/").isEmpty());
        assertTrue(table.find("a.example", "/x").isEmpty());
        assertEquals(table.find("b.example", "/any").orElseThrow().name(), "b");
    }

    @Test
    public void selectsServiceByWeight() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.SAFE,
                List.of(new Route.Target("a", 90), new Route.Target("b", 10)),
                1,
                1,
                0,
                1,
                false,
                false,
                false,
                0,
                false);
        assertEquals(route.selectService(0.0), "a");
        assertEquals(route.selectService(0.89), "a");
        assertEquals(route.selectService(0.91), "b");
        assertEquals(route.selectService(0.999_999), "b");
    }

    @Test
    public void onlySafeAndResumableRequestsAreRepeatable() {
        assertTrue(routeOfKind(RouteKind.SAFE, false).repeatable());
        assertTrue(routeOfKind(RouteKind.STREAMING, true).repeatable());
        assertFalse(routeOfKind(RouteKind.STREAMING, false).repeatable());
        assertFalse(routeOfKind(RouteKind.UNSAFE, true).repeatable());
    }

    private static Route routeOfKind(RouteKind kind, boolean resumable) {
        return new Route("r", "h", "/", kind, List.of(), 1, 1, 0, 1, false, resumable, false, 0, false);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.SAFE,
                List.of(new Route.Target("s", 1)),
                1,
                1,
                0,
                1,
                false,
                false,
                false,
                0,
                false);
    }
}
