package lemonrail.assembly;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import lemonrail.exchange.Downstream;

/**
 * The open listeners, which share the limit on client connections, and the closed ones that still have
 * connections. Belongs to the event loop.
 */
final class Listeners {

    private static final int MIN_CONNECTIONS_EACH = 8;

    /** Receives the result of a change. */
    interface ChangeResult {
        /** All wanted listeners are open; the others are closing. */
        void onChanged();

        /** Nothing has changed, as this address could not be opened. */
        void onFailed(InetSocketAddress address, Throwable cause);
    }

    /** Creates the downstream of a listener with this limit on connections. */
    private final IntFunction<Downstream> downstreamFactory;

    private final Map<InetSocketAddress, Downstream> open = new LinkedHashMap<>();
    private final List<Downstream> leaving = new ArrayList<>();
    private int maxConnections;

    Listeners(IntFunction<Downstream> downstreamFactory, int maxConnections) {
        this.downstreamFactory = downstreamFactory;
        this.maxConnections = maxConnections;
    }

    /** Opens a listener; if that fails, nothing has changed. */
    ChannelFuture open(InetSocketAddress address) {
        Downstream downstream = downstreamFactory.apply(Math.max(MIN_CONNECTIONS_EACH, maxConnections));
        open.put(address, downstream);
        distributeConnections();
        ChannelFuture bound = downstream.listen(address);
        bound.addListener(result -> {
            if (!result.isSuccess()) {
                open.remove(address, downstream);
                distributeConnections();
            }
        });
        return bound;
    }

    /** Opens and closes listeners until exactly the wanted ones are open, as a whole or not at all. */
    void change(Collection<InetSocketAddress> wanted, ChangeResult result) {
        Set<InetSocketAddress> added = new HashSet<>(wanted);
        added.removeAll(open.keySet());
        List<InetSocketAddress> removed = open.keySet().stream()
                .filter(address -> !wanted.contains(address))
                .toList();
        Runnable onAllOpen = () -> {
            removed.forEach(this::leave);
            result.onChanged();
        };
        openNext(new ArrayList<>(added), new ArrayList<>(), onAllOpen, result);
    }

    private void openNext(
            List<InetSocketAddress> remaining,
            List<InetSocketAddress> opened,
            Runnable onAllOpen,
            ChangeResult result) {
        if (remaining.isEmpty()) {
            onAllOpen.run();
            return;
        }
        InetSocketAddress next = remaining.remove(0);
        open(next).addListener(bound -> {
            if (bound.isSuccess()) {
                opened.add(next);
                openNext(remaining, opened, onAllOpen, result);
            } else {
                opened.forEach(this::leave);
                result.onFailed(next, bound.cause());
            }
        });
    }

    private void leave(InetSocketAddress address) {
        Downstream downstream = open.remove(address);
        downstream.releaseAddress();
        downstream.closeAfterResponses();
        leaving.add(downstream);
        distributeConnections();
    }

    /** Sets the limit on connections over all listeners. */
    void setMaxConnections(int maxConnections) {
        this.maxConnections = maxConnections;
        distributeConnections();
    }

    private void distributeConnections() {
        int each = Math.max(MIN_CONNECTIONS_EACH, maxConnections / Math.max(1, open.size()));
        open.values().forEach(downstream -> downstream.setMaxConnections(each));
    }

    /** Performs an action on each downstream, including those that still have connections to finish. */
    void forEach(Consumer<Downstream> action) {
        leaving.removeIf(Downstream::hasNoConnections);
        List.copyOf(leaving).forEach(action);
        List.copyOf(open.values()).forEach(action);
    }

    /** Returns whether each downstream meets a condition, including those with connections to finish. */
    boolean allMatch(Predicate<Downstream> condition) {
        return leaving.stream().allMatch(condition) && open.values().stream().allMatch(condition);
    }
}
