package org.celerygw.daemon.metrics;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.celerygw.core.call.CallKind;
import org.celerygw.core.error.ErrorCode;
import org.testng.annotations.Test;

public class MetricsTest {
    @Test
    public void countsCallsByKindAndResult() {
        Metrics metrics = new Metrics();
        metrics.callStarted();
        metrics.callEnded(CallKind.TOOL, ErrorCode.OVERLOADED, 3);
        String text = metrics.toPrometheusText();
        assertTrue(text.contains("celerygw_calls_total{kind=\"tool\",result=\"OVERLOADED\"} 1.0"), text);
        assertTrue(text.contains("celerygw_call_seconds_bucket{kind=\"tool\",le=\"0.005\"} 1"), text);
        assertTrue(text.contains("celerygw_calls_open 0.0"), text);
    }

    @Test
    public void instancesInOneProcessShareNoMetrics() {
        new Metrics().operatorActionCompleted("DrainHost", "done");
        assertFalse(new Metrics().toPrometheusText().contains("DrainHost"));
    }
}
