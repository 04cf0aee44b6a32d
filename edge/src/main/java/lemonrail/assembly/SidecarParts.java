package lemonrail.assembly;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import lemonrail.admin.AdminServer;
import lemonrail.config.EdgeConfig;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.upgrade.SiblingProcessLock;

/** The parts of a sidecar that its life cycle needs, as {@link SidecarBuilder} has put them together. */
record SidecarParts(
        MultiThreadIoEventLoopGroup eventLoopGroup,
        EventLoopContext context,
        EdgeConfig config,
        Protocol<?, ?> protocol,
        RequestDispatcher<?, ?> dispatcher,
        Upstream<?, ?> upstream,
        Listeners listeners,
        AdminServer adminServer,
        ActiveSettings settings,
        ConfigurationReloader reloader,
        GracefulShutdown shutdown,
        SiblingProcessLock siblingLock) {}
