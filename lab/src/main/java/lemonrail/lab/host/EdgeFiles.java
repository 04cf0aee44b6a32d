package lemonrail.lab.host;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import lemonrail.lab.model.EndpointShape.ColdStart;

/** Writes the operators' file of one sidecar: the scenario's, at its own place. */
final class EdgeFiles {

    private static final TomlMapper TOML = new TomlMapper();

    private EdgeFiles() {}

    /**
     * One sidecar's place.
     *
     * @param name its own
     * @param count of the sidecars of its tier, of which it is the one of this number
     * @param discovery where its agent is
     * @param listen where it listens; port 0 takes a free one
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

    /** Writes the file into a folder, where the sidecar also keeps what it keeps. */
    static Path write(Path base, Path folder, Place place) throws IOException {
        ObjectNode root = (ObjectNode) TOML.readTree(base.toFile());
        root.put("name", place.name).put("state-dir", folder.toString()).put("seed", place.seed & Integer.MAX_VALUE);
        root.remove("admin");
        root.remove("endpoints");
        ArrayNode listeners = root.putArray("listeners");
        listeners.addObject().put("address", text(place.listen));
        root.putObject("discovery").put("address", text(place.discovery));
        table(root, "balancing")
                .put("balancers", place.count)
                .put("number", place.number)
                .put("tier", place.tier);
        if (place.cold.warmMs() > 0) {
            table(root, "cold-start").put("share", place.cold.share()).put("duration", place.cold.warmMs() + "ms");
        }
        Path file = folder.resolve(place.name + ".toml");
        Files.writeString(file, TOML.writeValueAsString(root));
        return file;
    }

    private static ObjectNode table(ObjectNode root, String name) {
        return root.get(name) instanceof ObjectNode there ? there : root.putObject(name);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
