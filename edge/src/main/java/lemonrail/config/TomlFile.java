package lemonrail.config;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;

/** The operators' file, in TOML. */
public record TomlFile(Path file, Map<String, String> environment) implements ConfigSource {

    @Override
    public LoadedConfiguration load() throws IOException {
        TomlDocument document = TomlDocument.read(file, environment);
        if (document.has(Schema.CONTROL)) {
            document.wrong(Schema.CONTROL.name(), null, "is for control nodes: lemonrail control runs this file");
            document.check();
        }
        EdgeConfig config = new EdgeConfigReader(document, environment).read();
        document.check();
        return new LoadedConfiguration(config, document.values());
    }
}
