package lemonrail.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.TextSink;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;

/**
 * Sends synthetic requests through a second set of the sidecar's components, so that the code is loaded and compiled
 * before the first client request. The client and the endpoints of the warm-up write bytes without a codec, so that
 * only the sidecar's own code is exercised. The second set listens on the sidecar's own address with an ephemeral port,
 * and is discarded at the end. Confined to the event loop.
 */
final class WarmUp {

    /**
     * The requests in their order, with common kinds more often than rare ones. The kinds that cause endpoints to be
     * ejected come last, because requests after them would only be rejected once no endpoint is left.
     */
    private static final List<WarmUpRequest> REQUESTS = List.of(
            WarmUpRequest.PLAIN,
            WarmUpRequest.CHUNKS,
            WarmUpRequest.PLAIN,
            WarmUpRequest.CUT,
            WarmUpRequest.PIECES,
            WarmUpRequest.RESET,
            WarmUpRequest.PLAIN,
            WarmUpRequest.MALFORMED,
            WarmUpRequest.PLAIN,
            WarmUpRequest.FULL,
            WarmUpRequest.PLAIN,
            WarmUpRequest.LEFT,
            WarmUpRequest.PLAIN,
            WarmUpRequest.TO_THE_END,
            WarmUpRequest.FAILED,
            WarmUpRequest.SILENT);

    /** The maximum duration of the warm-up, so that a busy machine does not prevent the sidecar from starting. */
    private static final int MAX_DURATION_MS = 3000;

    private static final int ENDPOINT_COUNT = 4;
    /** The index of the request before which the endpoint list changes. */
    private static final int ENDPOINT_UPDATE_BEFORE_REQUEST = 1;

    private static final int REQUESTS_PER_CONNECTION = 2;
    private static final int MAX_CONNECTIONS = 64;

    private final EventLoop loop;
    private final EventLoopContext sidecarContext;
    private final InetAddress listenAddress;
    private final Path scratchFile;
    private final Runnable onDone;
    private final List<Channel> endpoints = new ArrayList<>();
    /** The numbers of the requests of which an attempt has reached an endpoint. */
    private final Set<String> attemptedRequests = new HashSet<>();

    private UpstreamConnectionPool pool;
    private HttpServer server;
    private RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    /** Null until the second set of components listens. */
    private WarmUpClient client;

    private int requestNumber;
    private boolean requestInFlight;
    private boolean ended;

    /**
     * Creates a warm-up.
     *
     * @param sidecarContext the context of the sidecar to warm up, which provides the event loop and the settings
     * @param listenAddress the address to listen on, with ephemeral ports
     * @param scratchFile a file that the second set of components may create
     * @param onDone runs when the warm-up has ended
     */
    WarmUp(EventLoopContext sidecarContext, InetAddress listenAddress, Path scratchFile, Runnable onDone) {
        loop = sidecarContext.loop();
        this.sidecarContext = sidecarContext;
        this.listenAddress = listenAddress;
        this.scratchFile = scratchFile;
        this.onDone = onDone;
    }

    void start() {
        loop.schedule(this::end, MAX_DURATION_MS, TimeUnit.MILLISECONDS);
        startNextEndpoint();
    }

    private void startNextEndpoint() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, Sockets.BUFFER_ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(new WarmUpEndpoint(attemptedRequests, WarmUp.this::onReceivedByEndpoint));
                    }
                })
                .bind(ephemeralPort());
        endpoints.add(bound.channel());
        bound.addListener(done -> {
            if (!done.isSuccess() || ended) {
                end();
            } else if (endpoints.size() < ENDPOINT_COUNT) {
                startNextEndpoint();
            } else {
                startSidecar();
            }
        });
    }

    private InetSocketAddress ephemeralPort() {
        return new InetSocketAddress(listenAddress, 0);
    }

    private void onReceivedByEndpoint(WarmUpRequest request) {
        if (request == WarmUpRequest.LEFT) {
            client.close();
        }
    }

    private void startSidecar() {
        EventLoopContext context = createContext();
        pool = new UpstreamConnectionPool(context, MAX_CONNECTIONS);
        dispatcher = new RequestDispatcher<>(
                context,
                pool,
                new SuspendedEndpoints(scratchFile, context.log()),
                BoxcarLoadBalancer::new,
                0,
                endpointList(EndpointUpdateKind.SNAPSHOT, EndpointState.READY),
                () -> {});
        server = new HttpServer(context, dispatcher, MAX_CONNECTIONS);
        ChannelFuture bound = server.listen(ephemeralPort());
        bound.addListener(done -> {
            InetSocketAddress address = (InetSocketAddress) bound.channel().localAddress();
            client = new WarmUpClient(loop, address, this::onRequestFinished);
            if (done.isSuccess()) {
                sendNext();
            } else {
                end();
            }
        });
    }

    /** Creates a context whose log and metrics are discarded. */
    private EventLoopContext createContext() {
        Clock clock = new Clock();
        EventLog discardedLog = new EventLog(clock, new TextSink(new PrintStream(OutputStream.nullOutputStream())));
        List<String> classNames = sidecarContext.settings().classes().stream()
                .map(RequestClass::name)
                .toList();
        return new EventLoopContext(
                loop,
                clock,
                discardedLog,
                new Metrics(classNames),
                new BufferBudget(Long.MAX_VALUE),
                new Lifecycle(() -> true),
                sidecarContext.settings(),
                sidecarContext.endpointIdleTimeoutMs());
    }

    /** Returns a list of all endpoints, in which the last one has the given state. */
    private EndpointList endpointList(EndpointUpdateKind kind, EndpointState lastState) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointState state = i == endpoints.size() - 1 ? lastState : EndpointState.READY;
            entries.add(new EndpointList.Entry(
                    new Endpoint("warm-up-" + i, sidecarContext.settings().zone(), 0, 0, 0, state, 1),
                    (InetSocketAddress) endpoints.get(i).localAddress()));
        }
        return new EndpointList(0, kind == EndpointUpdateKind.SNAPSHOT, entries);
    }

    private void sendNext() {
        if (ended) {
            return;
        }
        if (requestNumber == REQUESTS.size()) {
            end();
            return;
        }
        if (requestNumber == ENDPOINT_UPDATE_BEFORE_REQUEST) {
            dispatcher.onEndpointList(endpointList(EndpointUpdateKind.DELTA, EndpointState.DRAINING));
            dispatcher.onEndpointList(endpointList(EndpointUpdateKind.DELTA, EndpointState.READY));
        }
        if (client.isConnected()) {
            send();
        } else {
            client.connect(this::send, this::end);
        }
    }

    private void send() {
        WarmUpRequest request = REQUESTS.get(requestNumber);
        requestInFlight = true;
        client.send(request, request.toText(requestNumber, sidecarContext.settings()));
    }

    private void onRequestFinished() {
        if (!requestInFlight) {
            return;
        }
        requestInFlight = false;
        requestNumber++;
        if (requestNumber % REQUESTS_PER_CONNECTION == 0) {
            client.close();
        }
        loop.execute(this::sendNext);
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        endpoints.forEach(Channel::close);
        if (client != null) {
            client.close();
        }
        if (server != null) {
            server.close();
            pool.close();
        }
        onDone.run();
    }
}
