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
import lemonrail.core.SettingsReader;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListReader;
import lemonrail.discovery.SocketAddressReader;
import lemonrail.json.InvalidFieldException;
import lemonrail.json.Json;
import lemonrail.logging.LogSettings;

/**
 * The platform's JSON file, which {@code GW_CONFIG} names. The environment variables {@code GW_MGMT} and
 * {@code TMPDIR} supplement it. This class maps the platform's field names to the terms of the code.
 */
public record PlatformFile(Path file, Map<String, String> environment) implements ConfigSource {

    private static final String ADMIN_VARIABLE = "GW_MGMT";
    private static final String STATE_FOLDER_VARIABLE = "TMPDIR";
    private static final String WAIT_VARIABLE = "LEMONRAIL_DISCOVERY_WAIT";

    @Override
    public LoadedConfiguration load() throws IOException {
        EdgeConfig config = read();
        return new LoadedConfiguration(config, PlatformValues.of(this, config));
    }

    /** Returns true, because the platform changes only the address of discovery while the process runs. */
    @Override
    public boolean reloadsDiscoveryOnly() {
        return true;
    }

    private EdgeConfig read() throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            throw fileProblem(0, "file not found; check GW_CONFIG or the command line");
        }
        try {
            if (!(Json.parse(bytes) instanceof Map<?, ?> json)) {
                throw fileProblem(1, "not a JSON object");
            }
            return readEdgeConfig(json);
        } catch (JsonProcessingException e) {
            throw fileProblem(e.getLocation().getLineNr(), "invalid JSON: " + e.getOriginalMessage());
        } catch (InvalidFieldException e) {
            int line = JsonLineLocator.lineOf(bytes, e.field());
            throw new ConfigException(new ConfigProblem(file, line, e.field(), e.value(), e.getMessage()));
        } catch (IllegalArgumentException e) {
            throw e instanceof ConfigException ? e : fileProblem(0, e.getMessage());
        }
    }

    private ConfigException fileProblem(int line, String message) {
        return new ConfigException(ConfigProblem.ofFile(file, line, message));
    }

    private EdgeConfig readEdgeConfig(Map<?, ?> json) {
        Map<String, Object> settings = requireObject("settings", json.get("settings"));
        Map<String, Object> attemptLimits = requireObject("settings.limits", settings.get("limits"));
        requirePositive("settings.limits.dial-timeout-ms", attemptLimits.get("dial-timeout-ms"));
        requirePositive("settings.limits.try-limit", attemptLimits.get("try-limit"));
        checkRules(requireObject("settings.rules", settings.get("rules")));
        EndpointList.Names names = new EndpointList.Names(
                requireStrings("settings.azs", settings.get("azs")),
                requireStrings("settings.models", settings.get("models")));
        return new EdgeConfig(
                String.valueOf(json.get("name")),
                List.of(SocketAddressReader.read("listen", json.get("listen"))),
                adminAddress(json.get("mgmt")),
                SocketAddressReader.read("discovery", json.get("discovery")),
                discoveryWaitMs(),
                stateFolder(environment),
                readSeed(json.get("seed")),
                requirePositive("limits.memory_mb", limit(json, "memory_mb")),
                (int) requirePositive("limits.sockets", limit(json, "sockets")),
                requirePositive("settings.limits.idle-close-ms", attemptLimits.get("idle-close-ms")),
                names,
                EndpointListReader.read(requireObject("known", json.get("known")), names),
                SettingsReader.read(settings),
                LogSettings.DEFAULT,
                null);
    }

    /** Checks the rules, which are optional, so that a problem names the platform's key. */
    private static void checkRules(Map<String, Object> rules) {
        if (rules.get("fall-ms") instanceof Double windowMs && windowMs <= 0) {
            throw new InvalidFieldException("settings.rules.fall-ms", windowMs);
        }
        if (rules.get("drain-grace-ms") instanceof Double graceMs && graceMs < 0) {
            throw new InvalidFieldException("settings.rules.drain-grace-ms", graceMs);
        }
    }

    private static Object limit(Map<?, ?> json, String name) {
        return requireObject("limits", json.get("limits")).get(name);
    }

    private InetSocketAddress adminAddress(Object value) {
        String variable = environment.getOrDefault(ADMIN_VARIABLE, "");
        if (value != null) {
            return SocketAddressReader.read("mgmt", value);
        }
        return variable.isBlank() ? null : SocketAddressReader.read(ADMIN_VARIABLE, variable);
    }

    /**
     * Returns the wait that the environment sets, or null. It is parsed like the key of the operators' file, whose
     * schema is loaded only if the variable is set.
     */
    private Double discoveryWaitMs() {
        String text = environment.get(WAIT_VARIABLE);
        if (text == null) {
            return null;
        }
        ValueType<Double> type = Schema.DISCOVERY_WAIT.type();
        return type.parse(new ValueType.Variable(text))
                .orElseThrow(() -> new ConfigException(
                        new ConfigProblem(file, 0, WAIT_VARIABLE, text, "must be " + type.allowed())));
    }

    /** Returns the default folder of state files, used unless the configuration names another. */
    static Path stateFolder(Map<String, String> environment) {
        String folder = environment.getOrDefault(STATE_FOLDER_VARIABLE, "");
        return Path.of(folder.isBlank() ? System.getProperty("java.io.tmpdir") : folder);
    }

    private static long readSeed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw new InvalidFieldException("seed", value);
        }
    }

    private static double requirePositive(String field, Object value) {
        if (value instanceof Double number && number > 0) {
            return number;
        }
        throw new InvalidFieldException(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> requireObject(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new InvalidFieldException(field, value);
    }

    private static List<String> requireStrings(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw new InvalidFieldException(field, value);
        }
        List<String> strings = new ArrayList<>();
        for (Object element : list) {
            strings.add(String.valueOf(element));
        }
        return strings;
    }
}
