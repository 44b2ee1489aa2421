package org.celerygw.cli.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.celerygw.standin.model.Deployment;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Draws latency, rebuilt tokens and goodput over load. */
final class Charts {
    private Charts() {}

    static void write(List<PolicyExperiment.Row> rows, Path dir) throws IOException {
        List<Deployment> deployments =
                rows.stream().map(PolicyExperiment.Row::deployment).distinct().toList();
        for (Deployment d : deployments) {
            List<PolicyExperiment.Row> own = rows.stream()
                    .filter(r -> r.deployment().equals(d) && r.scenario().name().startsWith("load-"))
                    .toList();
            draw(own, dir, d.name() + "-p95", "program latency p95, s", m -> m.latencyMs(0.95) / 1000);
            draw(own, dir, d.name() + "-rebuilt", "rebuilt tokens, thousands", m -> m.rebuiltTokens() / 1000.0);
            draw(own, dir, d.name() + "-goodput", "goodput, part of capacity", Measures::goodput);
        }
    }

    private static void draw(
            List<PolicyExperiment.Row> rows, Path dir, String name, String axis, ToDoubleFunction<Measures> value)
            throws IOException {
        if (rows.isEmpty()) {
            return;
        }
        XYChart chart = new XYChartBuilder()
                .width(800)
                .height(500)
                .title(name)
                .xAxisTitle("offered load")
                .yAxisTitle(axis)
                .build();
        for (String policy :
                rows.stream().map(PolicyExperiment.Row::policy).distinct().toList()) {
            List<PolicyExperiment.Row> line =
                    rows.stream().filter(r -> r.policy().equals(policy)).toList();
            chart.addSeries(
                    policy,
                    line.stream().mapToDouble(r -> r.scenario().load()).toArray(),
                    line.stream()
                            .mapToDouble(r -> value.applyAsDouble(r.measures()))
                            .toArray());
        }
        BitmapEncoder.saveBitmap(chart, dir.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, dir.resolve(name).toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    }
}
