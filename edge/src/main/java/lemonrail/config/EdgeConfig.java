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
 * The configuration of an edge, from either format of file.
 *
 * @param name the edge's name, the same after a restart
 * @param listeners where clients connect
 * @param admin the address of the admin API, or null for none
 * @param discovery the address of the discovery service, or null for none
 * @param discoveryWaitMs how long a poll there waits for changes, or null to derive it from the size of the fleet
 * @param folder of the files that outlive the process
 * @param seed for random numbers
 * @param memoryMb the memory that the edge's processes may take together, in MiB
 * @param sockets the most descriptors of the process
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 * @param names of zones and kinds; elsewhere their indexes stand for them
 * @param known the fixed list of endpoints, or the one to start with
 * @param control the control nodes to watch in place of discovery, or null for none
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

    /** Returns the path of a state file of this edge, which outlives the process. */
    public Path stateFile(String kind) {
        return folder.resolve(name.replaceAll("[^A-Za-z0-9._-]", "_") + "." + kind);
    }

    /** Returns the names of the request classes, in the order of the settings. */
    public List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }
}
