package lemonrail.exchange;

import io.netty.channel.EventLoop;
import lemonrail.core.Contract.Settings;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.Budget;
import lemonrail.time.Clock;

/**
 * What the parts on one event loop have in common.
 *
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 */
public record Shard(
        EventLoop loop,
        Clock clock,
        EventLog log,
        Metrics metrics,
        Budget budget,
        Lifecycle lifecycle,
        Settings settings,
        double idleCloseMs) {}
