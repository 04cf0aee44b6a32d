package lemonrail.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class BaselineTest {

    @TempDir
    private Path folder;

    @Test
    void rowsGoIntoTheirTableAndVoidOnesAreMarked() throws Exception {
        Baseline baseline = new Baseline();
        baseline.add(new Baseline.Row(Baseline.Part.SIDE_BY_SIDE, "direct", 1, 64, 1000, 6000, 6000, 0.2, 1,
            2, Double.NaN, Double.NaN, false));
        baseline.add(new Baseline.Row(Baseline.Part.ENDPOINTS, "edge", 10, 64, 1000, 6000, 3000, 0.4, 2, 3,
            120, 70, false));
        baseline.add(new Baseline.Row(Baseline.Part.RATE, "edge", 10, 512, 9000, 10, 10, 0.4, 2, 3, 90, 70,
            true));
        baseline.keep(folder, "v");
        String text = Files.readString(folder.resolve("baseline.md"));
        assertTrue(text.contains("| edge | 10 | 64 | 1000 | 50.00 % | 0.400 | 2.000 | 3.000 | 120 | 70 |"),
            text);
        assertTrue(text.contains("| edge (void) | 10 | 512 | 9000"), text);
        assertEquals(4, Files.readAllLines(folder.resolve("baseline.csv")).size());
        assertTrue(Files.size(folder.resolve("endpoints.svg")) > 500);
    }
}
