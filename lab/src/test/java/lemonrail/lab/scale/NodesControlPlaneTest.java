package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The scale run's small form before control nodes: the whole way of a change, with two real edges. */
@Timeout(180)
class NodesControlPlaneTest {

    @TempDir
    private Path folder;

    @Tag("known-red")
    @Test
    void controlNodesCarryEachStorm() throws Exception {
        ScaleScenario scenario = ScaleFile.read(Path.of("scenarios", "scale-nodes-small.toml"));
        // Not by the command of service: its jar is there only after the package phase.
        ServeCommand command = new ServeCommand(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx64m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "lemonrail.cli.Main",
                        "serve"),
                folder);
        ScaleResults results = ScaleRun.run(
                scenario,
                command,
                folder,
                "test",
                () -> new NodesControlPlane(4, 2),
                new PrintWriter(new StringWriter(), true));
        Path kept = folder.resolve("kept");
        results.write(kept);
        String table = Files.readString(kept.resolve("table.md"));
        assertEquals(scenario.storms().size(), results.rows().size(), table);
        for (StormRow row : results.rows()) {
            // A busy machine may make a row void, which is then said; what came of it holds all the same.
            assertTrue(row.verdict() == StormRow.Verdict.MET || row.verdict() == StormRow.Verdict.VOID, table);
            assertEquals(0, row.neverApplied(), table);
            assertEquals(row.hollowCount(), row.upToDateCount(), table);
            assertEquals(0, row.fullListCount(), table);
        }
    }
}
