package lemonrail.suspension;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.logging.EventLog;

/**
 * The endpoints that operators have suspended, combined with the endpoint list of discovery: the load balancer sees
 * a listed suspended endpoint as draining even if discovery reports it as ready. Each change is persisted before it
 * is confirmed, so that another or a later process of the same sidecar reads it. Belongs to the event loop.
 */
public final class SuspendedEndpoints {

    /** The limit on remembered ids of endpoints that are or were listed; above it the oldest is forgotten. */
    private static final int MAX_REMEMBERED_IDS = 4096;
    /** The limit on endpoints that are suspended at the same time. */
    private static final int MAX_SUSPENDED = 1024;

    private final SuspensionFile file;
    private final EventLog log;
    private final Map<String, Endpoint> listedById = new LinkedHashMap<>();
    /** Ids of endpoints that are or were listed, least recently updated first. */
    private final Set<String> everListed = new LinkedHashSet<>();

    private Set<String> suspended = new LinkedHashSet<>();
    private String lastProblem = "";
    private SuspensionFile.FileVersion readVersion = SuspensionFile.FileVersion.ABSENT;

    /** Creates the set with the suspensions of a file; it is empty if the file is absent, damaged or unreadable. */
    public SuspendedEndpoints(Path path, EventLog log) {
        file = new SuspensionFile(path);
        this.log = log.forComponent("suspension");
        refresh();
    }

    /** Applies an update of discovery and returns its endpoints, with suspended ready endpoints set to draining. */
    public List<Endpoint> applyUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints) {
        if (kind != EndpointUpdateKind.DELTA) {
            listedById.clear();
        }
        List<Endpoint> seenByBalancer = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                listedById.remove(endpoint.id());
            } else {
                listedById.put(endpoint.id(), endpoint);
                rememberId(endpoint.id());
            }
            seenByBalancer.add(applySuspension(endpoint));
        }
        return seenByBalancer;
    }

    private void rememberId(String id) {
        everListed.remove(id);
        everListed.add(id);
        if (everListed.size() > MAX_REMEMBERED_IDS) {
            Iterator<String> oldestFirst = everListed.iterator();
            oldestFirst.next();
            oldestFirst.remove();
        }
    }

    private Endpoint applySuspension(Endpoint endpoint) {
        boolean isSuspendedWhileReady = endpoint.state() == EndpointState.READY && suspended.contains(endpoint.id());
        return isSuspendedWhileReady ? endpoint.withState(EndpointState.DRAINING) : endpoint;
    }

    /** Returns the listed endpoints among these ids, with suspended ready endpoints set to draining. */
    public List<Endpoint> listedEndpoints(Collection<String> ids) {
        return ids.stream()
                .map(listedById::get)
                .filter(Objects::nonNull)
                .map(this::applySuspension)
                .toList();
    }

    /** Returns whether an endpoint of this id is or was listed, or is suspended. */
    public boolean isKnown(String id) {
        return everListed.contains(id) || suspended.contains(id);
    }

    /** Returns the number of listed endpoints. */
    public int listedCount() {
        return listedById.size();
    }

    /** Returns the number of listed endpoints that are suspended. */
    public int listedSuspendedCount() {
        return (int) suspended.stream().filter(listedById::containsKey).count();
    }

    /**
     * Suspends an endpoint and persists the change.
     *
     * @return the ids whose suspension has changed, including changes by another process
     * @throws IOException if the change cannot be persisted, or too many endpoints are suspended
     */
    public Set<String> suspend(String id) throws IOException {
        if (suspended.size() >= MAX_SUSPENDED && !suspended.contains(id)) {
            throw new IOException("cannot suspend more than " + MAX_SUSPENDED + " endpoints at the same time");
        }
        return update(ids -> ids.add(id));
    }

    /**
     * Resumes an endpoint and persists the change.
     *
     * @return the ids whose suspension has changed, including changes by another process
     * @throws IOException if the change cannot be persisted
     */
    public Set<String> resume(String id) throws IOException {
        return update(ids -> ids.remove(id));
    }

    private Set<String> update(Consumer<Set<String>> change) throws IOException {
        Set<String> ids = file.update(change);
        readVersion = file.version();
        return replaceSuspended(ids);
    }

    /**
     * Reads the file again if another process of the same sidecar has changed it. An unreadable file leaves the
     * suspensions unchanged and is logged.
     *
     * @return the ids whose suspension has changed
     */
    public Set<String> refresh() {
        try {
            SuspensionFile.FileVersion version = file.version();
            if (version.equals(readVersion)) {
                return Set.of();
            }
            Set<String> changed = replaceSuspended(file.readIds());
            readVersion = version;
            logChanges(changed);
            return changed;
        } catch (IOException e) {
            logProblem(e.getMessage());
            return Set.of();
        }
    }

    private void logChanges(Set<String> changed) {
        List<String> nowSuspended = changed.stream().filter(suspended::contains).toList();
        List<String> nowResumed =
                changed.stream().filter(id -> !suspended.contains(id)).toList();
        if (!nowSuspended.isEmpty()) {
            log.info(
                    "suspended",
                    "suspended by another process: " + nowSuspended,
                    "by",
                    "other_process",
                    "endpoint",
                    nowSuspended);
        }
        if (!nowResumed.isEmpty()) {
            log.info(
                    "resumed",
                    "resumed by another process: " + nowResumed,
                    "by",
                    "other_process",
                    "endpoint",
                    nowResumed);
        }
    }

    /** Logs a problem with the file unless it was the last one logged, because the file is read repeatedly. */
    private void logProblem(String problem) {
        if (!problem.equals(lastProblem)) {
            log.warn(
                    "suspensions_unreadable",
                    "cannot read the suspended endpoints, keeping the current suspensions: " + problem);
        }
        lastProblem = problem;
    }

    private Set<String> replaceSuspended(Set<String> ids) {
        Set<String> changed = new LinkedHashSet<>(suspended);
        changed.removeAll(ids);
        ids.stream().filter(id -> !suspended.contains(id)).forEach(changed::add);
        suspended = new LinkedHashSet<>(ids);
        lastProblem = "";
        return changed;
    }
}
