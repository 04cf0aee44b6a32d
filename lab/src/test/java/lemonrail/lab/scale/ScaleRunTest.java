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

/** Plays the small scale scenario: a few dozen sidecars, two of them real. */
@Timeout(120)
class ScaleRunTest {

    @TempDir
    private Path folder;

    @Test
    void smallScenarioMeetsItsTargets() throws Exception {
        ScaleScenario scenario = ScaleFile.read(Path.of("scenarios", "scale-small.toml"));
        // The service's own command needs its jar, which exists only after the package phase.
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
        StringWriter output = new StringWriter();
        ScaleResults results = ScaleRun.run(
                scenario, command, folder, "test", RegistryControlPlane::new, new PrintWriter(output, true));
        Path resultsDirectory = folder.resolve("kept");
        results.write(resultsDirectory);
        String table = Files.readString(resultsDirectory.resolve("table.md"));
        assertEquals(scenario.storms().size(), results.rows().size(), table);
        for (StormRow row : results.rows()) {
            // On a busy machine a row may be void, and then says so. The checks below apply to void rows too.
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
                Files.readAllLines(resultsDirectory.resolve("storms.csv")).size());
        assertTrue(Files.exists(resultsDirectory.resolve("in-force.svg")));
    }

    /** A control plane that drops the changes of one endpoint. */
    private static final class DroppingControlPlane implements ControlPlane {
        private final RegistryControlPlane registry = new RegistryControlPlane();
        private final String droppedId;

        DroppingControlPlane(String droppedId) {
            this.droppedId = droppedId;
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
        public Path writeSidecarConfig(SidecarSpec spec, String list, int node, String group) throws IOException {
            return registry.writeSidecarConfig(spec, list, node, group);
        }

        @Override
        public void replaceList(String list, List<EndpointEntry> entries) {
            registry.replaceList(list, entries);
        }

        @Override
        public Applied apply(int node, Map<String, List<EndpointEntry>> changes) {
            Map<String, List<EndpointEntry>> forwarded = new HashMap<>();
            changes.forEach((list, entries) -> forwarded.put(
                    list,
                    entries.stream()
                            .filter(entry -> !entry.id().equals(droppedId))
                            .toList()));
            return registry.apply(node, forwarded);
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
    void droppedChangeIsDetected() throws Exception {
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
                () -> new DroppingControlPlane(site.createEntry(7).id()),
                new PrintWriter(new StringWriter()));
        StormRow row = results.rows().get(0);
        assertEquals(site.endpoints(), row.neverApplied(), "the second change, of endpoint 7, must reach no sidecar");
        assertEquals(0, row.upToDateCount(), row.toString());
        assertTrue(row.verdict() == StormRow.Verdict.MISSED || row.verdict() == StormRow.Verdict.VOID, row.toString());
        assertFalse(results.passes());
    }

    @Test
    void abortedRunKeepsItsResultsAndDoesNotPass() throws Exception {
        ScaleScenario scenario = ScaleFile.read(Path.of("scenarios", "scale-small.toml"));
        ServeCommand exitingCommand = new ServeCommand(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-version"), folder);
        ScaleResults results = ScaleRun.run(
                scenario,
                exitingCommand,
                folder,
                "test",
                RegistryControlPlane::new,
                new PrintWriter(new StringWriter()));
        assertEquals("sidecar process exited before it was ready", results.abortReason());
        assertFalse(results.passes());
        results.write(folder.resolve("kept"));
        String table = Files.readString(folder.resolve("kept").resolve("table.md"));
        assertTrue(table.contains("**Ended early**: sidecar process exited before it was ready."), table);
    }
}
