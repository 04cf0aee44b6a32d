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
 * The configuration of an edge, independent of the format of the file that it was read from.
 *
 * @param name the edge's name, stable across restarts
 * @param listeners the addresses that clients connect to
 * @param admin the address of the admin API, or null for none
 * @param discovery the address of the discovery service, or null for none
 * @param discoveryWaitMs how long a poll of discovery waits for changes, or null to derive it from the size of the
 *     fleet
 * @param stateFolder the folder of the state files, which survive restarts
 * @param seed the seed of random numbers
 * @param memoryMb the memory limit of all processes of the edge together, in MiB
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param idleCloseMs the time after which an endpoint closes an idle connection at the latest
 * @param names the names of zones and endpoint kinds, which the balancer refers to by index
 * @param initialEndpoints the fixed list of endpoints, or the list to start with if there is discovery
 * @param control the subscription to control nodes instead of discovery, or null for none
 */
public record EdgeConfig(
        String name,
        List<InetSocketAddress> listeners,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        Double discoveryWaitMs,
        Path stateFolder,
        long seed,
        double memoryMb,
        int maxDescriptors,
        double idleCloseMs,
        EndpointList.Names names,
        EndpointList initialEndpoints,
        BalancerSettings settings,
        LogSettings logging,
        ControlClient.Subscription control) {

    /** Returns the path of the state file of this kind; the file survives restarts. */
    public Path stateFile(String kind) {
        return stateFolder.resolve(name.replaceAll("[^A-Za-z0-9._-]", "_") + "." + kind);
    }

    /** Returns the names of the request classes, in the order of the balancer settings. */
    public List<String> classNames() {
        return settings.classes().stream().map(RequestClass::name).toList();
    }
}
