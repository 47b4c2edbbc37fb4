package org.coriandercrank.load.internal;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.coriandercrank.load.LoadReport.SecondStats;

/** Renders successes, failures and imbalance per second of a run as an SVG image. Stateless. */
final class SvgPlot {
    // All sizes are in pixels.
    private static final int WIDTH = 800;
    private static final int PANEL_HEIGHT = 140;
    private static final int PANEL_COUNT = 3;
    private static final int MARGIN = 40;
    private static final int PANEL_BOTTOM_PADDING = 15;
    private static final int TITLE_OFFSET = 5;

    private SvgPlot() {}

    static String render(List<SecondStats> seconds) {
        StringBuilder svg = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"12\">%n",
                WIDTH,
                PANEL_COUNT * PANEL_HEIGHT));
        appendPanel(svg, 0, "succeeded per second", "#2a7", seconds, SecondStats::succeeded);
        appendPanel(svg, 1, "failed per second", "#c33", seconds, SecondStats::failed);
        appendPanel(svg, 2, "imbalance (max/mean)", "#36c", seconds, SecondStats::imbalance);
        return svg.append("</svg>\n").toString();
    }

    private static void appendPanel(
            StringBuilder svg,
            int index,
            String title,
            String colour,
            List<SecondStats> seconds,
            ToDoubleFunction<SecondStats> value) {
        double max = Math.max(1, seconds.stream().mapToDouble(value).max().orElse(1));
        int bottomY = (index + 1) * PANEL_HEIGHT - PANEL_BOTTOM_PADDING;
        double height = PANEL_HEIGHT - MARGIN;
        double stepX = (WIDTH - 2.0 * MARGIN) / Math.max(1, seconds.size() - 1);
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < seconds.size(); i++) {
            double y = bottomY - value.applyAsDouble(seconds.get(i)) / max * height;
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", MARGIN + i * stepX, y));
        }
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"%d\" y=\"%d\">%s, top %.2f</text>%n<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\""
                        + " stroke=\"#999\"/>%n<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/>%n",
                MARGIN,
                bottomY - (int) height - TITLE_OFFSET,
                title,
                max,
                MARGIN,
                bottomY,
                WIDTH - MARGIN,
                bottomY,
                colour,
                points));
    }
}
