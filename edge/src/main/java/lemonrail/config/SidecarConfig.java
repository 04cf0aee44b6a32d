package lemonrail.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Settings;
import lemonrail.core.SettingsReader;
import lemonrail.discovery.ServerList;
import lemonrail.json.Json;

/**
 * What a sidecar is told at its start, read from the file that GW_CONFIG names.
 *
 * @param name the sidecar's name, the same after a restart
 * @param mgmt where operators call, or null where they have no door
 * @param folder where what outlives the process is kept
 * @param memoryMb the memory that the sidecar's processes may take together
 * @param sockets the descriptors that the process may hold
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 */
public record SidecarConfig(String name, InetSocketAddress listen, InetSocketAddress mgmt,
        InetSocketAddress discovery, Path folder, long seed, double memoryMb,
        int sockets, double idleCloseMs,
        ServerList.Names names, ServerList known, Settings settings) {

    private static final String MGMT_VARIABLE = "GW_MGMT";
    private static final String FOLDER_VARIABLE = "TMPDIR";

    /** Reads file and environment; anything missing or bad is an exception that names field and value. */
    public static SidecarConfig read(Path file, Map<String, String> environment) throws IOException {
        try {
            if (!(Json.value(Files.readAllBytes(file)) instanceof Map<?, ?> config)) {
                throw new IllegalArgumentException(file + " holds no JSON object");
            }
            return of(config, environment);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("GW_CONFIG names a file that is not there: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static SidecarConfig of(Map<?, ?> config, Map<String, String> environment) {
        Map<String, Object> settings = object("settings", config.get("settings"));
        Map<String, Object> limits = object("settings.limits", settings.get("limits"));
        object("settings.rules", settings.get("rules"));
        positive("settings.limits.dial-timeout-ms", limits.get("dial-timeout-ms"));
        positive("settings.limits.try-limit", limits.get("try-limit"));
        ServerList.Names names = new ServerList.Names(words("settings.azs", settings.get("azs")),
            words("settings.models", settings.get("models")));
        return new SidecarConfig(String.valueOf(config.get("name")),
            ServerList.address("listen", config.get("listen")), mgmt(config.get("mgmt"), environment),
            ServerList.address("discovery", config.get("discovery")), folder(environment),
            seed(config.get("seed")), positive("limits.memory_mb", limit(config, "memory_mb")),
            (int) positive("limits.sockets", limit(config, "sockets")),
            positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")), names,
            ServerList.of(object("known", config.get("known")), names), SettingsReader.settings(settings));
    }

    private static Object limit(Map<?, ?> config, String name) {
        return object("limits", config.get("limits")).get(name);
    }

    /** A file of this sidecar's own, which its next process finds as well. */
    public Path kept(String what) {
        return folder.resolve(name.replaceAll("[^A-Za-z0-9._-]", "_") + "." + what);
    }

    /** The names of the classes, in the order of the settings. */
    public List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }

    private static InetSocketAddress mgmt(Object value, Map<String, String> environment) {
        String variable = environment.getOrDefault(MGMT_VARIABLE, "");
        if (value != null) {
            return ServerList.address("mgmt", value);
        }
        return variable.isBlank() ? null : ServerList.address(MGMT_VARIABLE, variable);
    }

    private static Path folder(Map<String, String> environment) {
        String named = environment.getOrDefault(FOLDER_VARIABLE, "");
        return Path.of(named.isBlank() ? System.getProperty("java.io.tmpdir") : named);
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw ServerList.bad("seed", value);
        }
    }

    private static double positive(String field, Object value) {
        if (value instanceof Double number && number > 0) {
            return number;
        }
        throw ServerList.bad(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw ServerList.bad(field, value);
    }

    private static List<String> words(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw ServerList.bad(field, value);
        }
        List<String> words = new ArrayList<>();
        for (Object word : list) {
            words.add(String.valueOf(word));
        }
        return words;
    }
}
