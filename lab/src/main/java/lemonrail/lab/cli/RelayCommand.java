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

/** {@code relay}: a bare relay on loopback in a process of its own, to compare with; ends with its input. */
@Command(name = "relay", hidden = true, description = "A bare relay to a port on loopback, to compare with.")
public final class RelayCommand implements Callable<Integer> {

    @Parameters(paramLabel = "PORT", description = "where it relays to")
    private int port;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        InetSocketAddress at =
                BaselineServers.relay(group, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        spec.commandLine().getOut().println(at.getPort());
        spec.commandLine().getOut().flush();
        while (System.in.read() >= 0) {
            // Nothing is said to it; the end of its input is its end.
        }
        group.shutdownGracefully();
        return 0;
    }
}
