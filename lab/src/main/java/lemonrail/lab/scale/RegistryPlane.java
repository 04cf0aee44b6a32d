package lemonrail.lab.scale;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Today's way: one registry, whose one address each sidecar has from its file; settings are files. */
public final class RegistryPlane implements ControlPlane {

    private final RegistryNode node = new RegistryNode("control-0");

    @Override
    public Optional<String> missing(Ability ability) {
        return Optional.of(switch (ability) {
            case NODE_LOST -> "a sidecar knows one address of discovery; another one takes a file and a "
                + "SIGHUP at each process, and a whole list";
            case REGIONS_CUT -> "there is one registry: the region without it hears of no change, its own "
                + "among them, until the regions hear each other";
            case SETTINGS -> "settings are a file and a SIGHUP at each process; nobody knows what is in "
                + "force where";
        });
    }

    @Override
    public int nodes() {
        return 1;
    }

    @Override
    public InetSocketAddress address(String list, int at, String group) {
        return node.address(list, group);
    }

    @Override
    public void list(String list, List<Line> lines) {
        node.list(list, lines);
    }

    @Override
    public Applied apply(Map<String, List<Line>> changes) {
        return node.apply(changes);
    }

    @Override
    public Map<String, Line> lines(String list) {
        return node.lines(list);
    }

    @Override
    public void stop(int at) {
        node.stop();
    }

    @Override
    public void start(int at, boolean fromNothing) {
        node.start(fromNothing);
    }

    @Override
    public void cut(int one, int other, boolean apart) {
        throw new IllegalStateException("there is one node");
    }

    @Override
    public Cost cost(int at) {
        return node.cost();
    }

    @Override
    public Traffic.Seen traffic(String group) {
        return node.traffic(group);
    }

    @Override
    public List<Heard> heard(String group) {
        return node.heard(group);
    }

    @Override
    public void close() {
        node.close();
    }
}
