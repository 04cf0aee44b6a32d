package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.EndpointList;
import lemonrail.logging.LogSettings;

/**
 * What an edge is told at its start, from whichever form of configuration.
 *
 * @param name the edge's name, the same after a restart
 * @param listeners where clients connect
 * @param admin where operators call, or null where there is no admin API
 * @param discovery where the list of endpoints is watched, or null where it is fixed
 * @param discoveryWaitMs how long a call there waits for news, or null where the fleet's size says so
 * @param folder where what outlives the process is kept
 * @param seed for random numbers
 * @param memoryMb the memory that the edge's processes may take together, in MiB
 * @param sockets the descriptors that the process may hold
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 * @param names of zones and kinds, whose places stand for them
 * @param known the list of endpoints: the fixed one, or as it was last known
 * @param control the control nodes to watch at in place of discovery, or null
 */
public record EdgeConfig(
        String name,
        List<InetSocketAddress> listeners,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        Double discoveryWaitMs,
        Path folder,
        long seed,
        double memoryMb,
        int sockets,
        double idleCloseMs,
        EndpointList.Names names,
        EndpointList known,
        BalancerSettings settings,
        LogSettings logging,
        ControlClient.Subscription control) {

    /** A file of this edge's own, which its next process finds as well. */
    public Path kept(String what) {
        return folder.resolve(name.replaceAll("[^A-Za-z0-9._-]", "_") + "." + what);
    }

    /** The names of the classes, in the order of the settings. */
    public List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }
}
