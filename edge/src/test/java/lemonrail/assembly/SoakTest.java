package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The soak over real processes. The suite plays some seeds; more are played with {@code -Dsoak.first}, {@code
 * -Dsoak.last} and {@code -Dsoak.parallel}.
 */
@Timeout(1200)
class SoakTest {

    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long LAST_SEED = Long.getLong("soak.last", 6);
    private static final int PARALLEL_RUNS = Integer.getInteger("soak.parallel", 1);

    @TempDir
    Path folder;

    private String play(long seed) throws Exception {
        try (SoakRun run = new SoakRun(seed, Files.createDirectory(folder.resolve("seed-" + seed)))) {
            run.play();
            System.out.println(run);
            return run.record.violations().isEmpty() ? "" : run.toString();
        }
    }

    /** Guards against lost, late, repeated and truncated requests, and against processes that end or hold too much. */
    @Test
    void noRuleIsBrokenUnderFaults() throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(PARALLEL_RUNS);
        List<Future<String>> results = new ArrayList<>();
        LongStream.rangeClosed(FIRST_SEED, LAST_SEED).forEach(seed -> results.add(runs.submit(() -> play(seed))));
        List<String> broken = new ArrayList<>();
        for (Future<String> result : results) {
            if (!result.get().isEmpty()) {
                broken.add(result.get());
            }
        }
        runs.shutdown();
        assertEquals(List.of(), broken);
    }
}
