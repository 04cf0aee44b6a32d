package lemonrail.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.discovery.WatchClient;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** Watches another node, call after call, by the platform's protocol. */
final class PeerReplicator {

    /** How long a call waits for news, and how much more is silence. */
    private static final int WAIT_MS = 1_000;

    private static final int SILENCE_MS = 1_000;
    private static final int CONNECT_MS = 1_000;
    /** The pause after a failure, with its spread. */
    private static final int LEAST_PAUSE_MS = 100;

    private static final int MOST_PAUSE_MS = 400;
    private static final int MOST_BODY = 32 * 1024 * 1024;

    /** Who hears of the answers. */
    interface Listener {
        /** Takes an answer in; an exception fails the watch, which then asks for everything. */
        void heard(PeerReplicator from, Map<?, ?> answer);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final String own;
    private final Peer peer;
    private final Listener listener;
    private final WatchClient link;
    private Future<?> retry;
    private boolean stopped = true;
    private String boot = "";
    private long version = -1;
    private double heardAt;
    private boolean everHeard;
    /** What the other node last said of its watchers, or null. */
    private Object watching;

    PeerReplicator(EventLoop loop, Clock clock, EventLog log, String own, Peer peer, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.own = own;
        this.peer = peer;
        this.listener = listener;
        heardAt = clock.now();
        link = new WatchClient(loop, CONNECT_MS, MOST_BODY, new WatchClient.Listener() {
            @Override
            public void answered(int status, byte[] body) {
                take(status, body);
            }

            @Override
            public void failed(Object why) {
                fail(why);
            }
        });
    }

    Peer peer() {
        return peer;
    }

    /** Since this node was last heard, or since the start where it never was. */
    double ageMs() {
        return clock.now() - heardAt;
    }

    boolean wasHeard() {
        return everHeard;
    }

    Object watching() {
        return watching;
    }

    void start() {
        if (stopped) {
            stopped = false;
            ask();
        }
    }

    void stop() {
        stopped = true;
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        link.end();
    }

    private void ask() {
        link.call(
                peer.address(),
                "/registry/instances?peer=" + own
                        + (version < 0 ? "" : "&index=" + version + "&wait=" + WAIT_MS + "&from=" + boot),
                WAIT_MS + SILENCE_MS);
    }

    private void fail(Object why) {
        link.end();
        log.warnRateLimited("peer_failed", "node " + peer.name() + " is not heard", why, "node", peer.name());
        retry = loop.schedule(
                () -> {
                    retry = null;
                    ask();
                },
                ThreadLocalRandom.current().nextLong(LEAST_PAUSE_MS, MOST_PAUSE_MS),
                TimeUnit.MILLISECONDS);
    }

    private void take(int status, byte[] body) {
        if (status != 200) {
            fail("status " + status);
            return;
        }
        try {
            take(EntryCodec.object(body));
        } catch (RuntimeException e) {
            if (!(e instanceof IllegalArgumentException)) {
                log.error("an answer of node " + peer.name(), e);
            }
            // What was skipped must come again: the next call asks for everything.
            version = -1;
            fail(e.getMessage());
            return;
        }
        ask();
    }

    private void take(Map<?, ?> answer) {
        if (!(answer.get("version") instanceof Double told) || !(answer.get("node") instanceof String node)) {
            throw new IllegalArgumentException("it is no control node");
        }
        listener.heard(this, answer);
        boot = node;
        version = told.longValue();
        heardAt = clock.now();
        everHeard = true;
        watching = answer.get("watching");
    }
}
