package lemonrail.exchange;

import io.netty.channel.EventLoop;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;

/**
 * What all parts on one event loop share. The parts are used on this loop only.
 *
 * @param clock the clock of this loop
 * @param bufferBudget bounds the body bytes that all connections together hold
 * @param settings the settings at the start; {@link RequestDispatcher#settings} returns those in force
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
