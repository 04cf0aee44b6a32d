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
 * The endpoints that operators have suspended, laid over discovery's list: the load balancer sees a suspended
 * endpoint as draining, whatever discovery reports. Each change is on disk before it is confirmed, where the
 * sidecar's other or next process finds it. Belongs to the event loop.
 */
public final class SuspendedEndpoints {

    /** Ids remembered as listed once; the oldest are forgotten. */
    private static final int MAX_REMEMBERED_IDS = 4096;
    /** Endpoints suspended at once. */
    private static final int MAX_SUSPENDED = 1024;

    private final SuspensionFile file;
    private final EventLog log;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    /** Ids that are or were listed, the oldest first. */
    private final Set<String> everListed = new LinkedHashSet<>();

    private Set<String> suspended = new LinkedHashSet<>();
    private String lastProblem = "";
    private SuspensionFile.FileVersion readVersion = SuspensionFile.FileVersion.ABSENT;

    /** Loads the suspensions of a file, which may be absent; a damaged one counts as empty. */
    public SuspendedEndpoints(Path path, EventLog log) {
        file = new SuspensionFile(path);
        this.log = log.forComponent("suspension");
        refresh();
    }

    /** Applies an update of discovery, and returns its endpoints as the load balancer is to see them. */
    public List<Endpoint> applyUpdate(EndpointUpdateKind kind, List<Endpoint> endpoints) {
        if (kind != EndpointUpdateKind.DELTA) {
            listed.clear();
        }
        List<Endpoint> visible = new ArrayList<>(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                listed.remove(endpoint.id());
            } else {
                listed.put(endpoint.id(), endpoint);
                rememberId(endpoint.id());
            }
            visible.add(asVisible(endpoint));
        }
        return visible;
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

    private Endpoint asVisible(Endpoint endpoint) {
        boolean hidden = endpoint.state() == EndpointState.READY && suspended.contains(endpoint.id());
        return hidden ? endpoint.withState(EndpointState.DRAINING) : endpoint;
    }

    /** Returns those of these endpoints that are listed, as the load balancer is to see them. */
    public List<Endpoint> visibleEndpoints(Collection<String> ids) {
        return ids.stream()
                .map(listed::get)
                .filter(Objects::nonNull)
                .map(this::asVisible)
                .toList();
    }

    /** Returns whether an endpoint of this id is or was listed, or is suspended. */
    public boolean isKnown(String id) {
        return everListed.contains(id) || suspended.contains(id);
    }

    /** Returns the number of listed endpoints. */
    public int listedCount() {
        return listed.size();
    }

    /** Returns the number of listed endpoints that are suspended. */
    public int listedSuspendedCount() {
        return (int) suspended.stream().filter(listed::containsKey).count();
    }

    /**
     * Suspends an endpoint and persists that.
     *
     * @return the ids whose suspension has changed, by another process included
     * @throws IOException if it cannot be persisted, or too many are suspended
     */
    public Set<String> suspend(String id) throws IOException {
        if (suspended.size() >= MAX_SUSPENDED && !suspended.contains(id)) {
            throw new IOException("no more than " + MAX_SUSPENDED + " endpoints may be suspended at once");
        }
        return update(ids -> ids.add(id));
    }

    /**
     * Resumes an endpoint and persists that.
     *
     * @return the ids whose suspension has changed, by another process included
     * @throws IOException if it cannot be persisted
     */
    public Set<String> resume(String id) throws IOException {
        return update(ids -> ids.remove(id));
    }

    private Set<String> update(Consumer<Set<String>> change) throws IOException {
        Set<String> ids = file.update(change);
        readVersion = file.version();
        return replaceSuspended(ids);
    }

    /** Reads what the sidecar's other process may have written, and returns the ids that have changed. */
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

    /** The file is read again each time; the same problem is logged once. */
    private void logProblem(String problem) {
        if (!problem.equals(lastProblem)) {
            log.warn("suspensions_unreadable", "suspensions stay as they were: " + problem);
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
