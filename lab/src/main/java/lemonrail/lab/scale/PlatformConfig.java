package lemonrail.lab.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Writes a sidecar's settings in the platform's JSON format, the same for hollow and real sidecars. */
final class PlatformConfig {

    private static final ObjectMapper JSON = new ObjectMapper();

    private PlatformConfig() {}

    static Path write(
            Path file,
            String name,
            InetSocketAddress listenAddress,
            InetSocketAddress discovery,
            int balancers,
            List<String> zones)
            throws IOException {
        ObjectNode root = JSON.createObjectNode()
                .put("name", name)
                .put("listen", formatAddress(listenAddress))
                .put("discovery", formatAddress(discovery))
                .put("seed", Integer.toHexString(name.hashCode()));
        root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
        root.putObject("known").put("version", 0).put("full", true).putArray("servers");
        ObjectNode settings = root.putObject("settings")
                .put("membership-mode", "on_request")
                .put("replicas-of-me", balancers)
                .put("slot-no", 0)
                .put("zone", 0);
        zones.forEach(settings.putArray("azs")::add);
        settings.putArray("models").add("std");
        var classes = settings.putArray("classes");
        classes.addObject()
                .put("name", "read")
                .put("effect", "repeatable")
                .put("slo-ms", 500)
                .put("hard-limit-ms", 2000)
                .put("worth", 1);
        classes.addObject()
                .put("name", "order")
                .put("effect", "once")
                .put("slo-ms", 800)
                .put("hard-limit-ms", 3000)
                .put("worth", 4);
        settings.putObject("limits")
                .put("dial-timeout-ms", 200)
                .put("idle-close-ms", 15_000)
                .put("try-limit", 3)
                .put("max-retry-after-ms", 2000);
        settings.putObject("rules")
                .put("cold-share", 0.3)
                .put("cold-ms", 10_000)
                .put("tip-multiple", 3)
                .put("fall-ms", 3000)
                .put("drain-grace-ms", 1000)
                .put("ask-within-ms", 10_000);
        Files.writeString(file, JSON.writeValueAsString(root));
        return file;
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
