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
    private final Map<EndpointHost, Relay> relays = new HashMap<>();

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

    /** Starts all endpoints, each behind a relay that simulates {@code link}, or without a relay if that is null. */
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
                relays.put(host, new Relay(loop, host.address(), link, random));
            }
            registry.set(new Registry.Entry(host.id(), Registry.State.IN_SERVICE, model.startedMs()));
        }
    }

    private EndpointModel model(int index, Rack rack, UniformRandomProvider random) {
        double speed = tier.minSpeed() + (tier.maxSpeed() - tier.minSpeed()) * random.nextDouble();
        EndpointModel model = new EndpointModel(
                scheduler,
                new EndpointShape(
                        tier.name() + "-" + (index + 1),
                        index % tier.racks(),
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

    /** Returns the endpoint of this id, or null. */
    EndpointHost host(String id) {
        return byId.get(id);
    }

    /** Returns the address of the endpoint's relay, or of the endpoint if it has none. */
    InetSocketAddress address(String id) {
        EndpointHost host = byId.get(id);
        return relays.containsKey(host) ? relays.get(host).address() : host.address();
    }

    /** Returns the parts of this tier that faults act on. */
    FaultInjector.Tier faultTargets() {
        return new FaultInjector.Tier(hosts, relays::get, registry);
    }

    @Override
    public void close() {
        hosts.forEach(EndpointHost::close);
        relays.values().forEach(Relay::close);
    }
}
