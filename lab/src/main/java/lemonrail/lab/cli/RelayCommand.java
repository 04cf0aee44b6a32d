package lemonrail.lab.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import lemonrail.lab.load.BaselineServers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code relay}: a plain TCP relay on loopback in a separate process, as a baseline for the sidecar. Prints its port
 * and runs until its standard input ends.
 */
@Command(name = "relay", hidden = true, description = "Run a plain TCP relay to a port on loopback, as a baseline.")
public final class RelayCommand implements Callable<Integer> {

    @Parameters(paramLabel = "PORT", description = "target port on loopback")
    private int port;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress address =
                BaselineServers.relay(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        spec.commandLine().getOut().println(address.getPort());
        spec.commandLine().getOut().flush();
        while (System.in.read() >= 0) {
            // Input is ignored; the relay stops at the end of the input.
        }
        group.shutdownGracefully();
        return 0;
    }
}
