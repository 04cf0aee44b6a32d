package lemonrail.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

class ScaleCommandTest {

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();

    private int execute(String... args) {
        return new CommandLine(new ScaleCommand())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(out, true))
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    out.append(e.getMessage()).append('\n');
                    return e instanceof IllegalArgumentException ? 2 : 1;
                })
                .execute(args);
    }

    @Test
    void missingSubcommandListsTheSubcommands() {
        assertEquals(2, execute());
        assertTrue(out.toString().contains("control"), out.toString());
    }

    @Test
    void invalidFileExitsWithStatusTwo() throws Exception {
        Path file = Files.writeString(
                folder.resolve("bad.toml"), "about = \"x\"\n[site]\nendpoints = 0\n" + "services = 1\n");
        assertEquals(2, execute("control", file.toString()));
        assertTrue(out.toString().contains("bad.toml:3: site.endpoints = 0: must be a whole number"), out.toString());
        assertEquals(2, execute("control", folder.resolve("none.toml").toString()));
    }
}
