package lemonrail.lab.host;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import lemonrail.lab.model.EndpointShape.ColdStart;

/** Writes the configuration file of one sidecar: that of the scenario, adapted to the sidecar's position in the run. */
final class EdgeFiles {

    private static final TomlMapper TOML = new TomlMapper();

    private EdgeFiles() {}

    /**
     * Position of one sidecar in the run.
     *
     * @param name name of the sidecar, also of its file
     * @param tier index of the tier that it sends to
     * @param number index of the sidecar among those of its tier
     * @param count number of sidecars of its tier
     * @param discovery address of its discovery agent
     * @param listen address at which it listens; port 0 selects a free one
     * @param cold how the endpoints of its tier start
     */
    record Place(
            String name,
            int tier,
            int number,
            int count,
            InetSocketAddress discovery,
            InetSocketAddress listen,
            long seed,
            ColdStart cold) {}

    /** Writes the file into {@code folder}, which is also the sidecar's state directory. Returns its path. */
    static Path write(Path base, Path folder, Place place) throws IOException {
        ObjectNode root = (ObjectNode) TOML.readTree(base.toFile());
        root.put("name", place.name).put("state-dir", folder.toString()).put("seed", place.seed & Integer.MAX_VALUE);
        root.remove("admin");
        root.remove("endpoints");
        ArrayNode listeners = root.putArray("listeners");
        listeners.addObject().put("address", hostAndPort(place.listen));
        root.putObject("discovery").put("address", hostAndPort(place.discovery));
        getOrCreateTable(root, "balancing")
                .put("balancers", place.count)
                .put("number", place.number)
                .put("tier", place.tier);
        if (place.cold.warmMs() > 0) {
            getOrCreateTable(root, "cold-start")
                    .put("share", place.cold.share())
                    .put("duration", place.cold.warmMs() + "ms");
        }
        Path file = folder.resolve(place.name + ".toml");
        Files.writeString(file, TOML.writeValueAsString(root));
        return file;
    }

    private static ObjectNode getOrCreateTable(ObjectNode root, String name) {
        return root.get(name) instanceof ObjectNode existing ? existing : root.putObject(name);
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
