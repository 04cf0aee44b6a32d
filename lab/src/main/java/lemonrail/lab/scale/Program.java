package lemonrail.lab.scale;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * What real sidecars are.
 *
 * @param command that serves by the file that GW_CONFIG names
 * @param folder in which it is run
 */
public record Program(List<String> command, Path folder) {

    /** By the command of service of a checkout's deployment. */
    public static Program ofService(Path home) throws IOException {
        String run = new TomlMapper().readTree(home.resolve("deploy/balancer.toml").toFile()).get("run")
            .asText();
        List<String> words = new ArrayList<>(List.of(run.replaceFirst("^exec ", "").split(" ")));
        if (words.get(0).equals("java")) {
            words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        }
        return new Program(List.copyOf(words), home);
    }
}
