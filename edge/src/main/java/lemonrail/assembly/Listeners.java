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
 * connections. Must be used on the event loop only.
 */
final class Listeners {

    private static final int MIN_CONNECTIONS_PER_LISTENER = 8;

    /** Receives the result of {@link #change}. */
    interface ChangeResult {
        /** Called when all requested listeners are open and the others are closing. */
        void onChanged();

        /** Called when {@code address} could not be opened; the set of listeners has not changed. */
        void onFailed(InetSocketAddress address, Throwable cause);
    }

    /** Creates the downstream of a listener; the argument is its limit on connections. */
    private final IntFunction<Downstream> downstreamFactory;

    private final Map<InetSocketAddress, Downstream> open = new LinkedHashMap<>();
    private final List<Downstream> closing = new ArrayList<>();
    private int maxConnections;

    Listeners(IntFunction<Downstream> downstreamFactory, int maxConnections) {
        this.downstreamFactory = downstreamFactory;
        this.maxConnections = maxConnections;
    }

    /** Opens a listener and returns the future of its bind; a failed bind leaves the listeners unchanged. */
    ChannelFuture open(InetSocketAddress address) {
        Downstream downstream = downstreamFactory.apply(Math.max(MIN_CONNECTIONS_PER_LISTENER, maxConnections));
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

    /** Opens and closes listeners so that exactly the requested ones are open; changes none if a bind fails. */
    void change(Collection<InetSocketAddress> requested, ChangeResult result) {
        Set<InetSocketAddress> added = new HashSet<>(requested);
        added.removeAll(open.keySet());
        List<InetSocketAddress> removed = open.keySet().stream()
                .filter(address -> !requested.contains(address))
                .toList();
        Runnable onAllOpen = () -> {
            removed.forEach(this::closeGracefully);
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
                opened.forEach(this::closeGracefully);
                result.onFailed(next, bound.cause());
            }
        });
    }

    private void closeGracefully(InetSocketAddress address) {
        Downstream downstream = open.remove(address);
        downstream.releaseAddress();
        downstream.closeAfterResponses();
        closing.add(downstream);
        distributeConnections();
    }

    /** Sets the limit on client connections over all listeners. */
    void setMaxConnections(int maxConnections) {
        this.maxConnections = maxConnections;
        distributeConnections();
    }

    private void distributeConnections() {
        int limitPerListener = Math.max(MIN_CONNECTIONS_PER_LISTENER, maxConnections / Math.max(1, open.size()));
        open.values().forEach(downstream -> downstream.setMaxConnections(limitPerListener));
    }

    /** Performs an action on each downstream, including closed listeners that still have connections. */
    void forEach(Consumer<Downstream> action) {
        closing.removeIf(Downstream::hasNoConnections);
        List.copyOf(closing).forEach(action);
        List.copyOf(open.values()).forEach(action);
    }

    /** Returns whether each downstream meets a condition, including closed listeners that still have connections. */
    boolean allMatch(Predicate<Downstream> condition) {
        return closing.stream().allMatch(condition) && open.values().stream().allMatch(condition);
    }
}
