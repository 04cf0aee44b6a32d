package lemonrail.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.logging.LogSettings;

/** The operators' file of a control node: a TOML file with a table [control]. */
public record ControlFile(Path file, Map<String, String> environment) {

    private static final List<ConfigTable> TABLES =
            List.of(Schema.CONTROL, Schema.PEERS, Schema.ADMIN_TABLE, Schema.LOGGING);

    /** A control node's configuration, and each value with its origin. */
    public record Read(ControlConfig config, List<LoadedConfiguration.Value> values) {}

    /** Whether this is a control node's file; one that can't be read is none. */
    public static boolean isOne(Path file, Map<String, String> environment) {
        try {
            return file.toString().endsWith(".toml")
                    && TomlDocument.read(file, environment).has(Schema.CONTROL);
        } catch (IOException | ConfigException e) {
            return false;
        }
    }

    /** Reads it; a {@link ConfigException} names all that is wrong. */
    public Read load() throws IOException {
        TomlDocument document = TomlDocument.read(file, environment);
        TableReader top = document.top(Schema.ROOT, TABLES);
        String name = top.get(Schema.NAME);
        if (!top.has(Schema.NAME) && !environment.containsKey("LEMONRAIL_NAME")) {
            document.wrong("name", null, "is missing; each control node must have a name of its own");
        }
        String folder = top.get(Schema.STATE_DIR);
        if (!document.has(Schema.CONTROL)) {
            document.wrong("control", null, "is missing; a control node's file must have [control]");
        }
        TableReader control = document.one(Schema.CONTROL);
        InetSocketAddress address = control.get(Schema.CONTROL_ADDRESS);
        String region = control.get(Schema.REGION);
        Integer watchers = control.get(Schema.WATCHERS);
        Double gapMs = control.get(Schema.ANSWER_GAP);
        List<Peer> peers = peers(document, name);
        TableReader adminSection = document.one(Schema.ADMIN_TABLE);
        InetSocketAddress admin = adminSection.get(Schema.ADMIN);
        if (admin != null && admin.equals(address) && admin.getPort() != 0) {
            adminSection.contradicts(Schema.ADMIN, "is taken by control.address");
        }
        LogSettings logging = EdgeConfigReader.logging(document);
        document.check();
        return new Read(
                new ControlConfig(
                        name,
                        region,
                        address,
                        admin,
                        peers,
                        watchers,
                        gapMs,
                        folder == null ? PlatformFile.folder(environment) : Path.of(folder),
                        logging),
                document.values());
    }

    private static List<Peer> peers(TomlDocument document, String own) {
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader section : document.all(Schema.PEERS)) {
            String name = section.get(Schema.PEER_NAME);
            InetSocketAddress address = section.get(Schema.PEER_ADDRESS);
            String region = section.get(Schema.PEER_REGION);
            if (name != null && !names.add(name)) {
                section.contradicts(Schema.PEER_NAME, "is there twice; each must be there once");
            }
            if (name != null && !name.equals(own)) {
                peers.add(new Peer(name, address, region));
            }
        }
        return peers;
    }
}
