package lemonrail.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** The operators' file of an edge, in TOML. */
public record TomlFile(Path file, Map<String, String> environment) implements ConfigSource {

    @Override
    public LoadedConfiguration load() throws IOException {
        TomlDocument document = TomlDocument.read(file, environment);
        if (document.has(ControlSchema.CONTROL)) {
            document.addProblem(
                    ControlSchema.CONTROL.name(),
                    null,
                    "is allowed only for control nodes; run this file with: lemonrail control");
            document.throwIfInvalid();
        }
        EdgeConfig config = new EdgeConfigReader(document, environment).read();
        return new LoadedConfiguration(config, document.values());
    }

    @Override
    public boolean reloadsDiscoveryOnly() {
        return false;
    }
}
