package lemonrail.exchange;

import io.netty.channel.EventLoop;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;

/**
 * The objects that all components on one event loop share. They are used on this event loop only.
 *
 * @param clock the clock of this event loop
 * @param bufferBudget bounds the memory that the requests and responses of all connections hold
 * @param settings the settings at the start; {@link RequestDispatcher#settings} returns the current ones
 * @param endpointIdleTimeoutMs the time, in milliseconds, after which endpoints may close an idle connection
 */
public record EventLoopContext(
        EventLoop loop,
        Clock clock,
        EventLog log,
        Metrics metrics,
        BufferBudget bufferBudget,
        Lifecycle lifecycle,
        BalancerSettings settings,
        double endpointIdleTimeoutMs) {}
