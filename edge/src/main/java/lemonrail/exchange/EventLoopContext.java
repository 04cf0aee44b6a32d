package lemonrail.exchange;

import io.netty.channel.EventLoop;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;

/**
 * What the parts on one event loop have in common.
 *
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 */
public record EventLoopContext(
        EventLoop loop,
        Clock clock,
        EventLog log,
        Metrics metrics,
        BufferBudget budget,
        Lifecycle lifecycle,
        BalancerSettings settings,
        double idleCloseMs) {}
