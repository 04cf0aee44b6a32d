package lemonrail.assembly;

import lemonrail.admin.AdminServer;
import lemonrail.config.EdgeConfig;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.upgrade.SiblingProcessLock;

/** The components that {@link Sidecar} needs for its life cycle, created by {@link SidecarBuilder}. */
record SidecarParts(
        SidecarEventLoop eventLoop,
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
