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
 * Holds docs/CAPACITY.md to the kept data of the scale runs. A measured figure is written there as a link to
 * the file it stands in, whose title names the row by its columns and then the column:
 * {@code [0.24](results/scale/x.csv "way=edge rate=390 p50_ms")}. The row must be the only one of that
 * description, and the figure the file's own, rounded to the digits shown. Each row of a table has such a
 * figure or says that it is worked out, assumed, set or missing.
 */
class CapacityPageTest {

    private static final Path DOCS = Path.of("..", "docs");
    private static final String PAGE = "CAPACITY.md";
    private static final Pattern QUOTED = Pattern.compile("\\[([^\\]]*)\\]\\((results/[^ )]*\\.csv) \"([^\"]*)\"\\)");
    private static final Pattern ANY_LINK_TO_DATA = Pattern.compile("\\]\\(results/[^)]*\\.csv");
    private static final Pattern WORD = Pattern.compile("worked out|assumed|\\bset\\b|missing|not run|`");
    /** A page that quotes next to nothing would pass by being empty. */
    private static final int FEWEST_FIGURES = 20;

    @Test
    void eachQuotedFigureStandsInTheKeptData() throws IOException {
        List<String> wrong = new ArrayList<>();
        int quoted = 0;
        Matcher figures = QUOTED.matcher(page());
        while (figures.find()) {
            quoted++;
            String problem = problem(figures.group(1), figures.group(2), figures.group(3));
            if (problem != null) {
                wrong.add(figures.group() + ": " + problem);
            }
        }
        assertEquals(List.of(), wrong);
        assertTrue(quoted >= FEWEST_FIGURES, "only " + quoted + " figures are quoted");
        assertEquals(
                ANY_LINK_TO_DATA.matcher(page()).results().count(),
                quoted,
                "links to kept data that don't name row and column");
    }

    @Test
    void eachRowHasAMeasuredFigureOrSaysWhyNot() throws IOException {
        List<String> bare = new ArrayList<>();
        String[] lines = page().split("\n");
        for (int i = 2; i < lines.length; i++) {
            boolean inTable = lines[i].startsWith("|") && lines[i - 1].startsWith("|");
            boolean headOrRule =
                    (i + 1 < lines.length && lines[i + 1].startsWith("| ---")) || lines[i].startsWith("| ---");
            boolean digits = lines[i].matches(".*\\d.*");
            if (inTable
                    && !headOrRule
                    && digits
                    && !QUOTED.matcher(lines[i]).find()
                    && !WORD.matcher(lines[i]).find()) {
                bare.add(lines[i]);
            }
        }
        assertEquals(List.of(), bare);
    }

    @Test
    void aWrongFigureIsFound() throws IOException {
        Matcher first = QUOTED.matcher(page());
        assertTrue(first.find());
        String figure = first.group(1).replace(",", "");
        String other = new BigDecimal(figure).add(BigDecimal.ONE).toPlainString();
        assertTrue(problem(other, first.group(2), first.group(3)) != null, other);
    }

    private static String page() throws IOException {
        return Files.readString(DOCS.resolve(PAGE), StandardCharsets.UTF_8);
    }

    /** What is wrong with a quoted figure, or null. */
    private static String problem(String figure, String file, String place) throws IOException {
        Path data = DOCS.resolve(file);
        if (!Files.isRegularFile(data)) {
            return "there is no such file";
        }
        String[] words = place.trim().split("\\s+");
        String column = words[words.length - 1];
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
                if (isMeant(row, words)) {
                    rows.add(row);
                }
            }
        }
        if (rows.size() != 1) {
            return rows.size() + " rows are meant";
        }
        BigDecimal shown = new BigDecimal(figure.replace(",", ""));
        BigDecimal kept = new BigDecimal(rows.get(0).get(column));
        return kept.setScale(shown.scale(), RoundingMode.HALF_UP).compareTo(shown) == 0 ? null : "the file has " + kept;
    }

    private static boolean isMeant(CSVRecord row, String[] words) {
        for (int i = 0; i < words.length - 1; i++) {
            int equals = words[i].indexOf('=');
            String name = equals < 0 ? words[i] : words[i].substring(0, equals);
            if (!row.isMapped(name) || !row.get(name).replace(' ', '_').equals(words[i].substring(equals + 1))) {
                return false;
            }
        }
        return true;
    }
}
