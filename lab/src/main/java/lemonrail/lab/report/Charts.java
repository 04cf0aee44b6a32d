package lemonrail.lab.report;

import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.text.NumberFormat;
import java.util.List;
import java.util.Locale;
import lemonrail.lab.model.Fault;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.CategoryLabelPositions;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.category.BarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.RectangleInsets;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.category.CategoryDataset;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Writes charts, each as an SVG and a PNG file. */
public final class Charts {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;
    private static final double LABEL_OFFSET = 3;
    private static final Color FAULT_BAND = new Color(230, 120, 60, 45);
    private static final Color[] SERIES_COLORS = {
        new Color(31, 119, 180),
        new Color(214, 39, 40),
        new Color(44, 160, 44),
        new Color(148, 103, 189),
        new Color(255, 127, 14),
        new Color(23, 190, 207)
    };

    private final Path folder;

    /** Creates a writer of charts into this directory, which must exist. */
    public Charts(Path folder) {
        this.folder = folder;
    }

    /**
     * Writes a line chart over time in seconds from 0 to {@code untilS}; faults are shown as bands behind the lines.
     */
    void writeTimeChart(
            String name, String title, String unit, XYSeriesCollection series, List<Fault> faults, double untilS)
            throws IOException {
        JFreeChart chart =
                ChartFactory.createXYLineChart(title, "s", unit, series, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = style(chart);
        plot.getDomainAxis().setRange(0, untilS);
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            IntervalMarker band = new IntervalMarker(
                    fault.beginMs() / 1000,
                    Math.min(untilS, Math.max(fault.endMs(), fault.beginMs() + 100) / 1000),
                    FAULT_BAND);
            band.setLabel(fault.kind().name().toLowerCase(Locale.ROOT).replace('_', ' '));
            band.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            band.setLabelTextAnchor(TextAnchor.TOP_LEFT);
            // Labels of faults that begin at the same time are placed below each other.
            band.setLabelOffset(
                    new RectangleInsets(LABEL_OFFSET + i * LABEL_OFFSET * 4, LABEL_OFFSET, LABEL_OFFSET, LABEL_OFFSET));
            plot.addDomainMarker(band, Layer.BACKGROUND);
        }
        write(name, chart);
    }

    /** Writes a line chart; either axis may be logarithmic. */
    public void writeLineChart(
            String name,
            String title,
            String xLabel,
            String yLabel,
            XYSeriesCollection series,
            boolean logX,
            boolean logY)
            throws IOException {
        JFreeChart chart = ChartFactory.createXYLineChart(
                title, xLabel, yLabel, series, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = style(chart);
        ((XYLineAndShapeRenderer) plot.getRenderer()).setDefaultShapesVisible(true);
        if (logX) {
            plot.setDomainAxis(logAxis(xLabel));
        }
        if (logY) {
            plot.setRangeAxis(logAxis(yLabel));
        }
        write(name, chart);
    }

    private static LogAxis logAxis(String label) {
        LogAxis axis = new LogAxis(label);
        axis.setNumberFormatOverride(NumberFormat.getNumberInstance(Locale.ROOT));
        return axis;
    }

    /** Writes a bar chart with one group of bars, or one stacked bar, for each column of the data set. */
    public void writeBarChart(String name, String title, String unit, CategoryDataset dataset, boolean stacked)
            throws IOException {
        JFreeChart chart = stacked
                ? ChartFactory.createStackedBarChart(
                        title, "", unit, dataset, PlotOrientation.VERTICAL, true, false, false)
                : ChartFactory.createBarChart(title, "", unit, dataset, PlotOrientation.VERTICAL, true, false, false);
        CategoryPlot plot = chart.getCategoryPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setCategoryLabelPositions(CategoryLabelPositions.UP_45);
        BarRenderer renderer = (BarRenderer) plot.getRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        for (int i = 0; i < SERIES_COLORS.length; i++) {
            renderer.setSeriesPaint(i, SERIES_COLORS[i]);
        }
        write(name, chart);
    }

    private static XYPlot style(JFreeChart chart) {
        XYPlot plot = chart.getXYPlot();
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < SERIES_COLORS.length; i++) {
            renderer.setSeriesPaint(i, SERIES_COLORS[i]);
        }
        plot.setRenderer(renderer);
        if (plot.getRangeAxis() instanceof NumberAxis axis) {
            axis.setAutoRangeIncludesZero(true);
        }
        return plot;
    }

    private void write(String name, JFreeChart chart) throws IOException {
        chart.setBackgroundPaint(Color.WHITE);
        SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
        // A fixed prefix of ids, so that the same chart always gives the same bytes.
        svg.setDefsKeyPrefix(name);
        chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        Files.writeString(folder.resolve(name + ".svg"), svg.getSVGDocument(), StandardCharsets.UTF_8);
        ChartUtils.saveChartAsPNG(folder.resolve(name + ".png").toFile(), chart, WIDTH, HEIGHT);
    }
}
