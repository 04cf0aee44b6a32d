package lemonrail.lab.host;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.lab.model.EndpointModel;
import lemonrail.lab.model.EndpointShape;
import lemonrail.lab.model.Rack;
import lemonrail.lab.model.Registry;
import lemonrail.lab.model.Scheduler;
import lemonrail.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;

/** The endpoints of one tier on loopback sockets, the links to them, and the registry that lists them. */
final class EndpointTier implements AutoCloseable {

    private final Scenario.Tier tier;
    private final int number;
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Registry registry;
    private final AttemptRecorder recorder;
    private final List<EndpointHost> hosts = new ArrayList<>();
    private final Map<String, EndpointHost> byId = new HashMap<>();
    private final Map<EndpointHost, Relay> links = new HashMap<>();

    EndpointTier(
            Scenario.Tier tier,
            int number,
            EventLoop loop,
            Scheduler scheduler,
            Registry registry,
            AttemptRecorder recorder) {
        this.tier = tier;
        this.number = number;
        this.loop = loop;
        this.scheduler = scheduler;
        this.registry = registry;
        this.recorder = recorder;
    }

    /** Opens all endpoints, each behind a relay by this link, or behind none where it is null. */
    void open(UniformRandomProvider random, Scenario.Link link) {
        List<Rack> racks = new ArrayList<>();
        for (int i = 0; i < tier.racks(); i++) {
            racks.add(new Rack(scheduler, tier.rackWindowMs()));
        }
        for (int i = 0; i < tier.count(); i++) {
            EndpointModel model = model(i, racks.get(i % tier.racks()), random);
            EndpointHost host = host(model, random);
            hosts.add(host);
            byId.put(host.id(), host);
            if (link != null) {
                links.put(host, new Relay(loop, host.address(), link, random));
            }
            registry.set(new Registry.Line(host.id(), Registry.State.IN_SERVICE, model.startedMs()));
        }
    }

    private EndpointModel model(int place, Rack rack, UniformRandomProvider random) {
        double speed = tier.minSpeed() + (tier.maxSpeed() - tier.minSpeed()) * random.nextDouble();
        EndpointModel model = new EndpointModel(
                scheduler,
                new EndpointShape(
                        tier.name() + "-" + (place + 1),
                        place % tier.racks(),
                        tier.cores(),
                        speed,
                        tier.slots(),
                        tier.waitingRoom(),
                        tier.connections(),
                        tier.handshakeMs(),
                        tier.cold(),
                        tier.crowding()),
                rack);
        if (tier.startsCold()) {
            model.start();
        }
        return model;
    }

    private EndpointHost host(EndpointModel model, UniformRandomProvider random) {
        double calls = tier.calls();
        return new EndpointHost(
                loop,
                scheduler,
                model,
                number,
                tier.workShare(),
                () -> (int) calls + (random.nextDouble() < calls - (int) calls ? 1 : 0),
                recorder);
    }

    Registry registry() {
        return registry;
    }

    List<EndpointHost> hosts() {
        return hosts;
    }

    /** The endpoint of this id, or null. */
    EndpointHost host(String id) {
        return byId.get(id);
    }

    /** Where an endpoint is reached, by its link if it has one. */
    InetSocketAddress address(String id) {
        EndpointHost host = byId.get(id);
        return links.containsKey(host) ? links.get(host).address() : host.address();
    }

    /** What faults are played on. */
    FaultPlayer.Tier forFaults() {
        return new FaultPlayer.Tier(hosts, links::get, registry);
    }

    @Override
    public void close() {
        hosts.forEach(EndpointHost::close);
        links.values().forEach(Relay::close);
    }
}
