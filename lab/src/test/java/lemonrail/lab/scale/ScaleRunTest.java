package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemonrail.config.EdgeConfig;
import lemonrail.logging.EventLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The scale run's small form: a few dozen sidecars, two of them real, and one verdict. */
@Timeout(120)
class ScaleRunTest {

    @TempDir
    private Path folder;

    @Test
    void theSmallFormMeetsItsTargets() throws Exception {
        ScaleScenario scenario = ScaleFile.read(Path.of("scenarios", "scale-small.toml"));
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
        StringWriter words = new StringWriter();
        ScaleResults results = ScaleRun.run(
                scenario, command, folder, "test", RegistryControlPlane::new, new PrintWriter(words, true));
        Path kept = folder.resolve("kept");
        results.write(kept);
        String table = Files.readString(kept.resolve("table.md"));
        assertEquals(scenario.storms().size(), results.rows().size(), table);
        for (StormRow row : results.rows()) {
            // A busy machine may make a row void, which is then said; what came of it holds all the same.
            assertTrue(row.verdict() == StormRow.Verdict.MET || row.verdict() == StormRow.Verdict.VOID, table);
            assertEquals(0, row.neverApplied(), table);
            assertEquals(row.hollowCount(), row.upToDateCount(), table);
            assertTrue(row.pairs() >= row.changes(), table);
        }
        assertEquals(
                results.rows().stream().allMatch(row -> row.verdict() == StormRow.Verdict.MET),
                results.passes(),
                table);
        assertEquals(
                1 + results.rows().size(),
                Files.readAllLines(kept.resolve("storms.csv")).size());
        assertTrue(Files.exists(kept.resolve("in-force.svg")));
    }

    /** A control that tells one endpoint's changes to nobody. */
    private static final class Forgetful implements ControlPlane {
        private final RegistryControlPlane registry = new RegistryControlPlane();
        private final String forgotten;

        Forgetful(String forgotten) {
            this.forgotten = forgotten;
        }

        @Override
        public Optional<String> findUnsupportedReason(Capability capability) {
            return registry.findUnsupportedReason(capability);
        }

        @Override
        public int nodes() {
            return registry.nodes();
        }

        @Override
        public Watch createWatch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String list, int node) {
            return registry.createWatch(loop, config, log, seed, list, node);
        }

        @Override
        public Path writeSidecarConfig(SidecarSpec place, String list, int node, String group) throws IOException {
            return registry.writeSidecarConfig(place, list, node, group);
        }

        @Override
        public void replaceList(String list, List<EndpointEntry> lines) {
            registry.replaceList(list, lines);
        }

        @Override
        public Applied apply(int node, Map<String, List<EndpointEntry>> changes) {
            Map<String, List<EndpointEntry>> told = new HashMap<>();
            changes.forEach((list, lines) -> told.put(
                    list,
                    lines.stream().filter(line -> !line.id().equals(forgotten)).toList()));
            return registry.apply(node, told);
        }

        @Override
        public void stopNode(int node) {
            registry.stopNode(node);
        }

        @Override
        public void startNode(int node, boolean withoutState) {
            registry.startNode(node, withoutState);
        }

        @Override
        public void setPartitioned(int node, int otherNode, boolean partitioned) {
            registry.setPartitioned(node, otherNode, partitioned);
        }

        @Override
        public Cost takeCost(int node) {
            return registry.takeCost(node);
        }

        @Override
        public Traffic.Totals takeTraffic(String group) {
            return registry.takeTraffic(group);
        }

        @Override
        public List<WatchCall> takeCalls(String group) {
            return registry.takeCalls(group);
        }

        @Override
        public void close() {
            registry.close();
        }
    }

    @Test
    void aChangeThatIsNotToldIsSeen() throws Exception {
        Site site = new Site(12, 2, 2, 2, 3);
        Path file = Files.writeString(folder.resolve("forgetful.toml"), "about = \"a control that forgets\"");
        ScaleScenario scenario = new ScaleScenario(
                "forgetful",
                file,
                "a control that forgets",
                site,
                new ScaleScenario.Sidecars(0, 2, 1, 0, 100),
                new ScaleScenario.Targets(300, 50, 32, 15),
                null,
                List.of(new ScaleScenario.Storm(ScaleScenario.Kind.CHANGE, ScaleScenario.EndpointScope.ALL, 2, 200)));
        ScaleResults results = ScaleRun.run(
                scenario,
                new ServeCommand(List.of("none"), folder),
                folder,
                "test",
                () -> new Forgetful(site.createEntry(7).id()),
                new PrintWriter(new StringWriter()));
        StormRow row = results.rows().get(0);
        assertEquals(site.endpoints(), row.neverApplied(), "the second change, of endpoint 7, reached nobody");
        assertEquals(0, row.upToDateCount(), row.toString());
        assertTrue(row.verdict() == StormRow.Verdict.MISSED || row.verdict() == StormRow.Verdict.VOID, row.toString());
        assertFalse(results.passes());
    }

    @Test
    void whatCannotGoOnIsKeptAndNoPass() throws Exception {
        ScaleScenario scenario = ScaleFile.read(Path.of("scenarios", "scale-small.toml"));
        ServeCommand ends = new ServeCommand(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-version"), folder);
        ScaleResults results = ScaleRun.run(
                scenario, ends, folder, "test", RegistryControlPlane::new, new PrintWriter(new StringWriter()));
        assertEquals("sidecar process exited before it was ready", results.abortReason());
        assertFalse(results.passes());
        results.write(folder.resolve("kept"));
        String table = Files.readString(folder.resolve("kept").resolve("table.md"));
        assertTrue(table.contains("**Ended early**: sidecar process exited before it was ready."), table);
    }
}
