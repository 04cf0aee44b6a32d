package lemonrail.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.junit.jupiter.api.Test;

/**
 * Checks docs/CAPACITY.md against the stored results of the scale runs. The page writes a measured figure as a link to
 * its result file; the link's title selects the row by its columns and then names the column:
 * {@code [0.24](results/scale/x.csv "way=edge rate=390 p50_ms")}. Exactly one row must match, and the figure must be
 * the value in the file, rounded to the digits shown. Each table row must contain such a figure or say that it is
 * worked out, assumed, set or missing.
 */
class CapacityPageTest {

    private static final Path DOCS = Path.of("..", "docs");
    private static final String PAGE = "CAPACITY.md";
    private static final Pattern QUOTED = Pattern.compile("\\[([^\\]]*)\\]\\((results/[^ )]*\\.csv) \"([^\"]*)\"\\)");
    private static final Pattern LINK_TO_RESULTS = Pattern.compile("\\]\\(results/[^)]*\\.csv");
    private static final Pattern UNMEASURED_MARK = Pattern.compile("worked out|assumed|\\bset\\b|missing|not run|`");
    /** Guards against a page that passes because it quotes almost no figures. */
    private static final int MIN_FIGURES = 20;

    @Test
    void quotedFiguresMatchTheStoredResults() throws IOException {
        List<String> wrong = new ArrayList<>();
        int quoted = 0;
        Matcher figures = QUOTED.matcher(page());
        while (figures.find()) {
            quoted++;
            String problem = findProblem(figures.group(1), figures.group(2), figures.group(3));
            if (problem != null) {
                wrong.add(figures.group() + ": " + problem);
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(quoted >= MIN_FIGURES, "only " + quoted + " figures are quoted");
        assertEquals(
                LINK_TO_RESULTS.matcher(page()).results().count(),
                quoted,
                "links to stored results must all name row and column");
    }

    @Test
    void eachTableRowHasAMeasuredFigureOrSaysWhyNot() throws IOException {
        List<String> unsupported = new ArrayList<>();
        String[] lines = page().split("\n");
        for (int i = 2; i < lines.length; i++) {
            boolean inTable = lines[i].startsWith("|") && lines[i - 1].startsWith("|");
            boolean headerOrSeparator =
                    (i + 1 < lines.length && lines[i + 1].startsWith("| ---")) || lines[i].startsWith("| ---");
            boolean hasDigits = lines[i].matches(".*\\d.*");
            if (inTable
                    && !headerOrSeparator
                    && hasDigits
                    && !QUOTED.matcher(lines[i]).find()
                    && !UNMEASURED_MARK.matcher(lines[i]).find()) {
                unsupported.add(lines[i]);
            }
        }
        assertEquals(List.of(), unsupported);
    }

    @Test
    void wrongFigureIsDetected() throws IOException {
        Matcher first = QUOTED.matcher(page());
        assertTrue(first.find());
        String figure = first.group(1).replace(",", "");
        String other = new BigDecimal(figure).add(BigDecimal.ONE).toPlainString();
        assertTrue(findProblem(other, first.group(2), first.group(3)) != null, other);
    }

    private static String page() throws IOException {
        return Files.readString(DOCS.resolve(PAGE), StandardCharsets.UTF_8);
    }

    /** Returns the problem with a quoted figure, or null if it matches the file. */
    private static String findProblem(String figure, String file, String selector) throws IOException {
        Path data = DOCS.resolve(file);
        if (!Files.isRegularFile(data)) {
            return "the file does not exist";
        }
        String[] terms = selector.trim().split("\\s+");
        String column = terms[terms.length - 1];
        List<CSVRecord> rows = new ArrayList<>();
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setHeader()
                .setSkipHeaderRecord(true)
                .build();
        try (CSVParser parser = CSVParser.parse(data, StandardCharsets.UTF_8, format)) {
            if (!parser.getHeaderMap().containsKey(column)) {
                return "no column " + column;
            }
            for (CSVRecord row : parser) {
                if (matches(row, terms)) {
                    rows.add(row);
                }
            }
        }
        if (rows.size() != 1) {
            return rows.size() + " rows match";
        }
        BigDecimal shown = new BigDecimal(figure.replace(",", ""));
        BigDecimal stored = new BigDecimal(rows.get(0).get(column));
        return stored.setScale(shown.scale(), RoundingMode.HALF_UP).compareTo(shown) == 0
                ? null
                : "the file has " + stored;
    }

    private static boolean matches(CSVRecord row, String[] terms) {
        for (int i = 0; i < terms.length - 1; i++) {
            int equals = terms[i].indexOf('=');
            String name = equals < 0 ? terms[i] : terms[i].substring(0, equals);
            if (!row.isMapped(name) || !row.get(name).replace(' ', '_').equals(terms[i].substring(equals + 1))) {
                return false;
            }
        }
        return true;
    }
}
