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

/** The configuration file of a control node: a TOML file with a table {@code [control]}. */
public record ControlFile(Path file, Map<String, String> environment) {

    private static final String NAME_VARIABLE = "LEMONRAIL_NAME";
    private static final List<ConfigTable> TABLES =
            List.of(ControlSchema.CONTROL, ControlSchema.PEERS, Schema.ADMIN, Schema.LOGGING);

    /** A control node's configuration, and each effective value with its origin. */
    public record Loaded(ControlConfig config, List<LoadedConfiguration.Value> values) {}

    /** Returns whether a file configures a control node; false if it cannot be read or parsed. */
    public static boolean isControlFile(Path file, Map<String, String> environment) {
        try {
            return file.toString().endsWith(".toml")
                    && TomlDocument.read(file, environment).has(ControlSchema.CONTROL);
        } catch (IOException | ConfigException e) {
            return false;
        }
    }

    /**
     * Reads the file.
     *
     * @throws ConfigException if the file is invalid; lists all problems
     */
    public Loaded load() throws IOException {
        TomlDocument document = TomlDocument.read(file, environment);
        TableReader root = document.root(Schema.ROOT, TABLES);
        String name = readName(document, root);
        String stateDir = root.get(Schema.STATE_DIR);
        if (!document.has(ControlSchema.CONTROL)) {
            document.addProblem("control", null, "is missing; a control node's file must have [control]");
        }
        TableReader control = document.table(ControlSchema.CONTROL);
        InetSocketAddress address = control.get(ControlSchema.ADDRESS);
        String region = control.get(ControlSchema.REGION);
        Integer maxWatchers = control.get(ControlSchema.MAX_WATCHERS);
        Double responseIntervalMs = control.get(ControlSchema.RESPONSE_INTERVAL);
        List<Peer> peers = readPeers(document, name);
        InetSocketAddress admin = readAdmin(document, address);
        LoggingTable logging = LoggingTable.read(document);
        document.throwIfInvalid();
        ControlConfig config = new ControlConfig(
                name,
                region,
                address,
                admin,
                peers,
                maxWatchers,
                responseIntervalMs,
                stateDir == null ? PlatformFile.stateFolder(environment) : Path.of(stateDir),
                logging.toSettings());
        return new Loaded(config, document.values());
    }

    /**
     * Returns the name, which the file or the environment must set, because the default name would be the same for
     * all nodes.
     */
    private String readName(TomlDocument document, TableReader root) {
        String name = root.get(Schema.NAME);
        if (!root.has(Schema.NAME) && !environment.containsKey(NAME_VARIABLE)) {
            document.addProblem("name", null, "is missing; each control node must have a unique name");
        }
        return name;
    }

    private static InetSocketAddress readAdmin(TomlDocument document, InetSocketAddress controlAddress) {
        TableReader table = document.table(Schema.ADMIN);
        InetSocketAddress admin = table.get(Schema.ADMIN_ADDRESS);
        if (admin != null && admin.equals(controlAddress) && admin.getPort() != 0) {
            table.addProblem(Schema.ADMIN_ADDRESS, "is already used by control.address");
        }
        return admin;
    }

    /** Returns all peers except the node itself, which the table may also list. */
    private static List<Peer> readPeers(TomlDocument document, String ownName) {
        List<Peer> peers = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (TableReader table : document.tables(ControlSchema.PEERS)) {
            String name = table.getUnique(ControlSchema.PEER_NAME, names);
            InetSocketAddress address = table.get(ControlSchema.PEER_ADDRESS);
            String region = table.get(ControlSchema.PEER_REGION);
            if (name != null && !name.equals(ownName)) {
                peers.add(new Peer(name, address, region));
            }
        }
        return peers;
    }
}
