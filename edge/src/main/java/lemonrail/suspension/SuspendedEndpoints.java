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
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.logging.EventLog;

/**
 * The endpoints that operators have taken out by hand, laid over discovery's list: whatever discovery says of
 * one, the decision module is shown it as draining, so that nothing the module keeps can bring it back. Every
 * change is on disk before it is confirmed, where the sidecar's next process, or its other one, finds it.
 */
public final class SuspendedEndpoints {

    /** Ids remembered as listed once; as endpoints are replaced all day the oldest of them go. */
    private static final int MOST_REMEMBERED = 4096;
    /** Endpoints out at once; more is no work of hands. */
    private static final int MOST_SUSPENDED = 1024;

    private final SuspensionFile file;
    private final EventLog log;
    private final Map<String, Endpoint> listed = new LinkedHashMap<>();
    private final Set<String> everListed = new LinkedHashSet<>();
    private Set<String> suspended = new LinkedHashSet<>();
    private String complaint = "";
    private SuspensionFile.Stamp read = SuspensionFile.Stamp.ABSENT;

    /** The suspensions that this file keeps, which need not be there; a damaged one counts as empty. */
    public SuspendedEndpoints(Path kept, EventLog log) {
        file = new SuspensionFile(kept);
        this.log = log.in("suspension");
        refresh();
    }

    /** Takes in what discovery says; returns how the module is to see it. */
    public List<Endpoint> show(EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind != EndpointUpdateKind.DELTA) {
            listed.clear();
        }
        List<Endpoint> shown = new ArrayList<>(entries.size());
        for (Endpoint entry : entries) {
            if (entry.state() == EndpointState.GONE) {
                listed.remove(entry.id());
            } else {
                listed.put(entry.id(), entry);
                remember(entry.id());
            }
            shown.add(shown(entry));
        }
        return shown;
    }

    private void remember(String id) {
        everListed.remove(id);
        everListed.add(id);
        if (everListed.size() > MOST_REMEMBERED) {
            Iterator<String> oldest = everListed.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private Endpoint shown(Endpoint entry) {
        return entry.state() != EndpointState.READY || !suspended.contains(entry.id())
                ? entry
                : entry.withState(EndpointState.DRAINING);
    }

    /** The listed ones among these, as the module is to see them now. */
    public List<Endpoint> shown(Collection<String> ids) {
        return ids.stream()
                .map(listed::get)
                .filter(entry -> entry != null)
                .map(this::shown)
                .toList();
    }

    /** Whether an endpoint of this id has been in the list, or is out by hand from before. */
    public boolean knows(String id) {
        return everListed.contains(id) || suspended.contains(id);
    }

    /** How many endpoints the list has. */
    public int listed() {
        return listed.size();
    }

    /** How many of the listed are out by hand. */
    public int listedSuspended() {
        return (int) suspended.stream().filter(listed::containsKey).count();
    }

    /** Takes an endpoint out and keeps that on disk; returns the ids that are seen otherwise from now on. */
    public Set<String> suspend(String id) throws IOException {
        if (suspended.size() >= MOST_SUSPENDED && !suspended.contains(id)) {
            throw new IOException("no more than " + MOST_SUSPENDED + " endpoints may be suspended at once");
        }
        return change(ids -> ids.add(id));
    }

    /** Lets an endpoint serve again; returns the ids that are seen otherwise from now on. */
    public Set<String> resume(String id) throws IOException {
        return change(ids -> ids.remove(id));
    }

    private Set<String> change(Consumer<Set<String>> change) throws IOException {
        Set<String> now = file.change(change);
        read = file.stamp();
        return adopt(now);
    }

    /** Reads what the sidecar's other process may have written; returns the ids that this changes. */
    public Set<String> refresh() {
        try {
            SuspensionFile.Stamp now = file.stamp();
            if (now.equals(read)) {
                return Set.of();
            }
            Set<String> changed = adopt(file.read());
            read = now;
            List<String> out = changed.stream().filter(suspended::contains).toList();
            List<String> back =
                    changed.stream().filter(id -> !suspended.contains(id)).toList();
            if (!out.isEmpty()) {
                log.info("suspended", "suspended by another process: " + out, "by", "other_process", "endpoint", out);
            }
            if (!back.isEmpty()) {
                log.info("resumed", "resumed by another process: " + back, "by", "other_process", "endpoint", back);
            }
            return changed;
        } catch (IOException e) {
            complain(e.getMessage());
            return Set.of();
        }
    }

    /** It is tried again each time, and told once. */
    private void complain(String why) {
        if (!why.equals(complaint)) {
            log.warn("suspensions_unreadable", "suspensions stay as they were: " + why);
        }
        complaint = why;
    }

    private Set<String> adopt(Set<String> now) {
        Set<String> changed = new LinkedHashSet<>(suspended);
        changed.removeAll(now);
        now.stream().filter(id -> !suspended.contains(id)).forEach(changed::add);
        suspended = new LinkedHashSet<>(now);
        complaint = "";
        return changed;
    }
}
