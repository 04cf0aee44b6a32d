package lemonrail.http1;

import java.net.InetAddress;
import java.nio.file.Path;
import lemonrail.exchange.Exchange;
import lemonrail.exchange.Front;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.Shard;
import lemonrail.exchange.Upstream;

/** HTTP/1.1 over plain TCP, from client to endpoint (RFC 9112). */
public final class Http1 implements Protocol<RequestMessage, Answer> {

    /** The largest body, either way, that is held whole, in bytes. */
    public static final int MOST_HELD_BYTES = AnswerReader.MOST_HELD_BYTES;

    @Override
    public Upstream<RequestMessage, Answer> upstream(Shard shard, int mostConnections) {
        return new EndpointPool(shard, mostConnections);
    }

    @Override
    public Front front(Shard shard, Exchange<RequestMessage, Answer> exchange, int mostConnections) {
        return new Frontend(shard, exchange, mostConnections);
    }

    @Override
    public void warmUp(Shard shard, InetAddress at, Path scratch, Runnable done) {
        new Warmup(shard, at, scratch, done).start();
    }

    @Override
    public int overflow() {
        return Frontend.OVERFLOW;
    }
}
