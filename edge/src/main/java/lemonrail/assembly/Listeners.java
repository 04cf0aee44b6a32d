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
 * The listeners that are open, one front each, which share the connections that clients may have, and those
 * on their way out. Belongs to the event loop.
 */
final class Listeners {

    private static final int LEAST_CONNECTIONS = 8;

    /** What comes of a change. */
    interface Changed {
        /** All that was asked for stands, and what was not is on its way out. */
        void done();

        /** Nothing has changed, as this address could not be taken. */
        void failed(InetSocketAddress address, Throwable why);
    }

    /** Makes a front of so many connections. */
    private final IntFunction<Downstream> maker;

    private final Map<InetSocketAddress, Downstream> open = new LinkedHashMap<>();
    private final List<Downstream> leaving = new ArrayList<>();
    private int most;

    Listeners(IntFunction<Downstream> maker, int most) {
        this.maker = maker;
        this.most = most;
    }

    /** Opens a listener; where that fails it is as if it had not been tried. */
    ChannelFuture open(InetSocketAddress address) {
        Downstream front = maker.apply(Math.max(LEAST_CONNECTIONS, most));
        open.put(address, front);
        share();
        ChannelFuture bound = front.listen(address);
        bound.addListener(up -> {
            if (!up.isSuccess()) {
                open.remove(address, front);
                share();
            }
        });
        return bound;
    }

    /** Opens and closes listeners until these are open; either all of it or nothing. */
    void change(Collection<InetSocketAddress> wanted, Changed changed) {
        Set<InetSocketAddress> added = new HashSet<>(wanted);
        added.removeAll(open.keySet());
        List<InetSocketAddress> removed =
                open.keySet().stream().filter(at -> !wanted.contains(at)).toList();
        openNext(
                new ArrayList<>(added),
                new ArrayList<>(),
                () -> {
                    removed.forEach(this::leave);
                    changed.done();
                },
                changed);
    }

    private void openNext(
            List<InetSocketAddress> left, List<InetSocketAddress> opened, Runnable done, Changed changed) {
        if (left.isEmpty()) {
            done.run();
            return;
        }
        InetSocketAddress next = left.remove(0);
        open(next).addListener(up -> {
            if (up.isSuccess()) {
                opened.add(next);
                openNext(left, opened, done, changed);
            } else {
                opened.forEach(this::leave);
                changed.failed(next, up.cause());
            }
        });
    }

    private void leave(InetSocketAddress address) {
        Downstream front = open.remove(address);
        front.releaseAddress();
        front.closeAfterResponses();
        leaving.add(front);
        share();
    }

    /** Sets how many connections all of them may have. */
    void bound(int connections) {
        most = connections;
        share();
    }

    private void share() {
        int each = Math.max(LEAST_CONNECTIONS, most / Math.max(1, open.size()));
        open.values().forEach(front -> front.setMaxConnections(each));
    }

    /** Has each front do this, those that leave as well. */
    void each(Consumer<Downstream> action) {
        leaving.removeIf(Downstream::hasNoConnections);
        List.copyOf(leaving).forEach(action);
        List.copyOf(open.values()).forEach(action);
    }

    boolean all(Predicate<Downstream> condition) {
        return leaving.stream().allMatch(condition) && open.values().stream().allMatch(condition);
    }
}
